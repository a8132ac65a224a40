package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// endAll marks all targets as ended: nothing listens at their addresses.
func (s *fixture) endAll() {
	for i := range 6 {
		s.ended.Store(fmt.Sprint("t", i), true)
	}
}

// TestTargetEndsSilently guards against an attempt that lasts until its deadline although its
// target has ended: a host that loses power closes no connection. A request that may not run
// again must end soon after, with an answer that does not promise that it has not run; one
// that may must go on at another target.
func TestTargetEndsSilently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		s.endAll()
		begun := time.Now()
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown) && !errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Assert(t, time.Since(begun) <= 1500*time.Millisecond, "%v", time.Since(begun))
		assert.Equal(t, len(s.sender.sent), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{silent: true}, step{events: events(1, 3)})
		defer s.stop()
		s.endAll()
		body, err := s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, body, fullStream)
		assert.Assert(t, s.sender.sent[0].Target.ID != s.sender.sent[1].Target.ID)
	})
}
