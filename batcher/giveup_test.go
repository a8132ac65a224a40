package batcher_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// testRetention is the retention of the route in these tests, and giveUpTime how much later an item
// that nobody can run must be given up.
const (
	testRetention = 20 * time.Second
	giveUpTime    = 8 * time.Second
)

// keepFor sets the retention of the fixture's route.
func (s *fixture) keepFor(retention time.Duration) {
	route := jobsRoute("jobs", "/j/", "llm")
	route.Retention = retention
	s.config = fleet.NewConfiguration(1, []*fleet.Route{route}, []*fleet.Service{{Name: "llm", Slots: slots}, {Name: "other", Slots: slots}}, fleet.Limits{})
}

// state returns the state of the item's result, and false if it has none.
func (s *fixture) state(job, item string) (fleet.ResultState, bool) {
	s.t.Helper()
	for _, r := range s.job(job).Results {
		if r.Item == item {
			return r.State, true
		}
	}
	return 0, false
}

// checkGivenUp checks that the item has no result until its retention is over, counted from
// accepted on, and is a dead letter soon after it.
func (s *fixture) checkGivenUp(accepted time.Time, job, item string) {
	s.t.Helper()
	time.Sleep(time.Until(accepted.Add(testRetention - 100*time.Millisecond)))
	_, found := s.state(job, item)
	assert.Assert(s.t, !found, "given up before its retention is over")
	time.Sleep(time.Until(accepted.Add(testRetention + giveUpTime)))
	state, found := s.state(job, item)
	assert.Assert(s.t, found, "never given up")
	assert.Equal(s.t, state, fleet.ResultDeadLetter)
}

// TestItemThatNoTargetRunsIsGivenUp guards against an item that stays open for ever (review/9): each
// target refuses it as too large, fails it in a way that is no reason to end it, or breaks off
// before its first event. The others are completed, and the clock of the acceptor, which is two
// minutes behind or more, makes nothing older than it is.
func TestItemThatNoTargetRunsIsGivenUp(t *testing.T) {
	for name, fail := range map[string]func(*target){
		"refused":             func(e *target) { e.refused = map[string]bool{"j1": true} },
		"503 of the target":   func(e *target) { e.statuses["j1"] = slices.Repeat([]int{503}, 1000) },
		"broken before event": func(e *target) { e.repeats = map[string][]oddEvents{"j1": slices.Repeat([]oddEvents{{}}, 1000)} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFixture(t)
				s.keepFor(testRetention)
				var batchers []*batcher.Batcher
				for i := range 3 {
					e := newTarget()
					fail(e)
					batchers = append(batchers, s.start(fmt.Sprint("b", i), e))
				}
				time.Sleep(time.Second)
				s.accept("j", 3)
				s.checkGivenUp(time.Now(), "j", "j1")
				assert.Equal(t, len(s.job("j").Results), 3)
				for _, b := range batchers {
					assert.NilError(t, b.Stop())
				}
			})
		})
	}
}

// TestAgeOutlivesRestarts guards against an item that is given up too early, or not at all, after
// the store has forgotten its history, the holder was restarted, or power was lost everywhere.
func TestAgeOutlivesRestarts(t *testing.T) {
	const at = testRetention / 2
	for name, c := range map[string]struct {
		disturb func(s *fixture, batchers []*batcher.Batcher, e *target) []*batcher.Batcher
		// forgotten is how much of the item's age nobody knows any more.
		forgotten time.Duration
	}{
		"history forgotten": {func(s *fixture, batchers []*batcher.Batcher, _ *target) []*batcher.Batcher {
			s.store.Compact(fleet.TopicWork)
			return batchers
		}, 0},
		"one restarted": {func(s *fixture, batchers []*batcher.Batcher, e *target) []*batcher.Batcher {
			assert.NilError(s.t, batchers[0].Stop())
			return []*batcher.Batcher{s.start("b0", e), batchers[1]}
		}, 0},
		"power lost": {func(s *fixture, batchers []*batcher.Batcher, e *target) []*batcher.Batcher {
			s.store.SetFaults(fleetstore.Faults{Down: true})
			for _, b := range batchers {
				assert.NilError(s.t, b.Stop())
			}
			s.store.SetFaults(fleetstore.Faults{})
			return []*batcher.Batcher{s.start("b0", e), s.start("b1", e)}
		}, at},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				s.keepFor(testRetention)
				e.refused = map[string]bool{"j0": true}
				batchers := []*batcher.Batcher{s.start("b0", e), s.start("b1", e)}
				time.Sleep(time.Second)
				s.accept("j", 1)
				accepted := time.Now()
				time.Sleep(at)
				batchers = c.disturb(s, batchers, e)
				s.checkGivenUp(accepted.Add(c.forgotten), "j", "j0")
				for _, b := range batchers {
					assert.NilError(t, b.Stop())
				}
			})
		})
	}
}

// TestItemThatGoesOnIsNotGivenUp guards against the loss of items that are late and run: one with a
// slow target, and one that waits for online requests, must be completed after their retention.
func TestItemThatGoesOnIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.keepFor(time.Second)
		e.slowdown = 2
		b := s.start("b", e)
		s.accept("j", 2)
		time.Sleep(2 * time.Second)
		e.set(func(e *target) { e.online = slots })
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.busy(), 0)
		e.set(func(e *target) { e.online = 0 })
		time.Sleep(8 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, b.Stop())
	})
}

// TestRefusedItemGoesToAnotherTarget guards against an item that stays with the one target that is
// too small for it.
func TestRefusedItemGoesToAnotherTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, small, large := newFixture(t), newTarget(), newTarget()
		s.keepFor(testRetention)
		small.refused = map[string]bool{"j0": true, "j1": true}
		first := s.start("first", small)
		time.Sleep(time.Second)
		s.accept("j", 2)
		time.Sleep(time.Second)
		second := s.start("second", large)
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, first.Stop())
		assert.NilError(t, second.Stop())
	})
}

// TestItemOfServiceWithoutBatchersIsGivenUp guards against an item that stays open for ever since no
// batcher of its service is left. Those of another service give it up, without running it, once
// twice its retention is over.
func TestItemOfServiceWithoutBatchersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.keepFor(testRetention / 2)
		s.register("t1", "other")
		b := s.startWith(s.store, decoder{s.config}, &fleet.Node{Name: "b", TargetAddress: "t1", Service: "other", MaxCallBytes: 1 << 20}, e)
		time.Sleep(time.Second)
		s.accept("j", 1)
		s.checkGivenUp(time.Now(), "j", "j0")
		assert.Equal(t, e.sent(""), 0)
		assert.NilError(t, b.Stop())
	})
}

// TestItemWithUnstorableOutputIsGivenUp guards against an item that runs for ever since the store
// does not take its output.
func TestItemWithUnstorableOutputIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.keepFor(testRetention)
		b := s.startOn(&refusingStore{Store: s.store, topic: fleet.TopicTexts}, "b", e)
		time.Sleep(time.Second)
		s.accept("j", 1)
		s.checkGivenUp(time.Now(), "j", "j0")
		assert.NilError(t, b.Stop())
	})
}

// TestRetentionOfTheAcceptCounts lets the operator shorten the retention after a job was accepted.
func TestRetentionOfTheAcceptCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.keepFor(time.Second)
		e.refused = map[string]bool{"j0": true}
		b := s.start("b", e)
		time.Sleep(time.Second)
		job := fleet.Job{ID: "j", Host: "h", Items: []fleet.Item{{ID: "j0", Path: "/j/x"}}}
		s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: job, Route: "jobs", Path: "/j/1", RetentionMillis: testRetention.Milliseconds()}})
		s.checkGivenUp(time.Now(), "j", "j0")
		assert.NilError(t, b.Stop())
	})
}
