package batcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestTellLoad tells gateways of online requests alone, counts those that were
// announced until they must show, and says nothing of a target that is lost or leaves.
func TestTellLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newSite(t), newTarget()
		e.down = true
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, b.TellLoad() == nil, "the target is not known yet")
		s.accept("j", 6)
		e.set(func(e *target) { e.down, e.online = false, 2 })
		time.Sleep(1500 * time.Millisecond)
		assert.Assert(t, e.busy() > 0)
		assert.DeepEqual(t, b.TellLoad(), &fleet.PeerLoad{Target: "t1", Online: 2})
		b.NoteComing()
		assert.Equal(t, b.TellLoad().Online, 3)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.TellLoad().Online, 2)
		e.set(func(e *target) { e.draining = true })
		time.Sleep(50 * time.Millisecond)
		assert.Assert(t, b.TellLoad() == nil, "the target leaves")
		e.set(func(e *target) { e.draining, e.down = false, true })
		time.Sleep(time.Second)
		assert.Assert(t, b.TellLoad() == nil, "the target is lost")
	})
}
