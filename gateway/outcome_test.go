package gateway_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
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
