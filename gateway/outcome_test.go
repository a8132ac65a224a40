package gateway_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestOutcomesAreTold sends a stream to a target of which its batcher knows nothing yet, and
// a request that is no stream: the batcher must hear of the stream's first event at once,
// and of its pace at its end.
func TestOutcomesAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{online: map[string]int{"t0": 0, "t1": 0, "t2": 0, "t3": 0, "t4": 0, "t5": 0}}
		s := startWithLoads(t, b, step{events: events(1, 3)}, step{events: events(1, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		target := s.sender.sent[0].Target.ID
		last := b.outcomes[len(b.outcomes)-1]
		assert.Equal(t, last.Target, target)
		_, err = s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, b.outcomes[len(b.outcomes)-1], last, "a request that is no stream was told")
	})
}

// TestFaultsAreTold has a target refuse the connection of a stream: the batcher beside it
// must hear of the fault, and the one that serves the stream then of no fault.
func TestFaultsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{online: map[string]int{"t0": 0, "t1": 0, "t2": 0, "t3": 0, "t4": 0, "t5": 0}}
		s := startWithLoads(t, b, step{err: fleet.ErrNotDelivered.New("connection refused")}, step{events: events(1, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		failed := map[string]bool{}
		for _, o := range b.outcomes {
			if o.Ended {
				failed[o.Target] = o.Failed
			}
		}
		assert.DeepEqual(t, failed, map[string]bool{s.sender.sent[0].Target.ID: true, s.sender.sent[1].Target.ID: false})
	})
}
