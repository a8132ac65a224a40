package batcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// TestLateClaimIsRun lets the store carry out a claim three seconds after the batcher has
// given up its append. The log then says that the batcher holds the items, and nobody else
// claims them as long as it shows that it is alive: it must run them itself.
func TestLateClaimIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(1200 * time.Millisecond)
		s.accept("j", slots)
		s.store.SetFaults(fleetstore.Faults{LateAppends: 100, LateBy: 3 * time.Second})
		time.Sleep(400 * time.Millisecond)
		e.set(func(e *target) { e.online = slots }) // no further claim is made meanwhile
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(5 * time.Second)
		e.set(func(e *target) { e.online = 0 })
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
	})
}
