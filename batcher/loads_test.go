package batcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestTellLoad checks that the load counts online requests only, that an announced request
// is counted until the target's report must show it, and that there is no answer for a
// target that is unknown, lost or draining.
func TestTellLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		e.down = true
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, b.ReportLoad() == nil, "the target is not known yet")
		s.accept("j", 6)
		e.set(func(e *target) { e.down, e.online = false, 2 })
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, e.busy() > 0)
		load := b.ReportLoad()
		assert.Assert(t, load.LearnedMillis < 500, "learned from the items that run, %d ms ago", load.LearnedMillis)
		load.LearnedMillis = 0
		assert.DeepEqual(t, load, &fleet.PeerLoad{Target: "t1", Online: 2, Service: "llm", Items: e.busy(), Capacity: slots, StepMicros: tokenTime.Microseconds()})
		b.RecordAnnouncement()
		assert.Equal(t, b.ReportLoad().Online, 3)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.ReportLoad().Online, 2)
		e.set(func(e *target) { e.draining = true })
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, b.ReportLoad() == nil, "the target is draining")
		e.set(func(e *target) { e.draining, e.down = false, true })
		time.Sleep(time.Second)
		assert.Assert(t, b.ReportLoad() == nil, "the target is lost")
	})
}
