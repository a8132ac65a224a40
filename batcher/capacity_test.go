package batcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestSlowTargetIsTold has gateways tell that streams of a target take twice as long from one
// second to the next: the answers of its batcher must show it within two seconds, what was
// told of another incarnation must not count, and a new incarnation must begin anew.
func TestSlowTargetIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(time.Second)
		tell := func(target string, step time.Duration) {
			for range 8 {
				time.Sleep(250 * time.Millisecond)
				b.RecordOutcome(fleet.PeerOutcome{Target: target, Running: 2, FirstEventMicros: 30_000, StepMicros: step.Microseconds()})
			}
		}
		assert.Equal(t, b.ReportLoad().StepMicros, int64(0))
		tell("t1", 10*time.Millisecond)
		assert.Equal(t, b.ReportLoad().StepMicros, int64(10_000))
		assert.Equal(t, b.ReportLoad().FirstEventMicros, int64(30_000))
		tell("t0", 90*time.Millisecond)
		assert.Equal(t, b.ReportLoad().StepMicros, int64(10_000), "told of another incarnation")
		tell("t1", 20*time.Millisecond)
		assert.Assert(t, b.ReportLoad().StepMicros >= 18_000, "%d", b.ReportLoad().StepMicros)
		s.register("t2", "llm")
		e.set(func(e *target) { e.id = "t2" })
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, b.ReportLoad(), &fleet.PeerLoad{Target: "t2", Service: "llm"})
	})
}

// TestItemsShowThatTargetSlows slows a target down while items run there and no stream tells
// of it: the batcher must see it by its own items within two seconds, and that it recovers.
func TestItemsShowThatTargetSlows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.accept("j", 20)
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		for _, slowdown := range []int{1, 3, 1} {
			e.set(func(e *target) { e.slowdown = slowdown })
			time.Sleep(2 * time.Second)
			expected := tokenTime.Microseconds() * int64(slowdown)
			step := b.ReportLoad().StepMicros
			assert.Assert(t, step > expected*9/10 && step < expected*11/10, "step %d at a slowdown of %d", step, slowdown)
		}
	})
}

// TestWaitingItemsGoToSpareSlots fills one of two targets with online requests while items
// with a due time run there: they must not wait there for slots that the other target has.
func TestWaitingItemsGoToSpareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, busy := newFixture(t), newTarget()
		route := s.config.Match("h", "/j/1")
		route.ResultDeadline = time.Hour
		s.accept("j", slots)
		b := s.start("b", busy)
		time.Sleep(time.Second)
		assert.Equal(t, busy.busy(), slots)
		spare := newTarget()
		other := s.start("c", spare)
		busy.set(func(e *target) { e.online = slots })
		time.Sleep(8 * time.Second)
		s.checkCompleted("j")
		assert.Assert(t, spare.resumedAfter("j0") > 0, "the item began anew")
		assert.NilError(t, b.Stop())
		assert.NilError(t, other.Stop())
	})
}

// TestWaitingItemsStayWhereAllAreFull lets online requests take the slots of a target while
// more items wait than there are slots: giving items back would only begin others in their
// place, and each would be done later.
func TestWaitingItemsStayWhereAllAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.config.Match("h", "/j/1").ResultDeadline = time.Hour
		s.accept("j", 3*slots)
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, e.busy(), slots)
		e.set(func(e *target) { e.online = slots })
		time.Sleep(3 * time.Second)
		for _, item := range s.job("j").Items {
			assert.Assert(t, item.Claim != worklog.NoClaim || item.Progress.Events == 0, "item %s was given back", item.ID)
		}
	})
}
