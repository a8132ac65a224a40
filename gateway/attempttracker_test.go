package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestStreamOfReplacedTargetGoesOn guards against a stream being cut because a later incarnation
// is registered at its target's address. A target that leaves serves what it has while its
// successor listens there already: only the attempt that hears nothing may be ended.
func TestStreamOfReplacedTargetGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker, target := newAttemptTracker(), &fleet.Target{ID: "t", StartUnixMillis: 1}
		flows, endFlows := context.WithCancelCause(t.Context())
		hangs, endHangs := context.WithCancelCause(t.Context())
		flowing, hanging := tracker.add(target, endFlows), tracker.add(target, endHangs)
		defer flowing.remove()
		defer hanging.remove()
		for range 4 {
			time.Sleep(silenceBeforeProbe / 4)
			flowing.heard()
		}
		tracker.endSilent(time.Now(), incarnation(target), "replaced")
		assert.NilError(t, flows.Err())
		assert.Assert(t, hasTargetEnded(hangs))
	})
}
