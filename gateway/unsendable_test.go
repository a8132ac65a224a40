package gateway_test

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestUnsendableRequest serves a request that can't be written as one request, and a stream
// whose first target gave an event an ID after which no other can be asked to go on. Neither
// may be tried at target after target, as if these were at fault.
func TestUnsendableRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unsendable := step{err: fleet.ErrMalformed.New("not one request")}
		s := startGateway(t, newStore(t), unsendable, step{events: events(1, 2), broken: true}, unsendable, step{events: events(3, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "resumable")
		isOfType(t, err, fleet.ErrMalformed)
		body, err := s.serve(t.Context(), "resumable")
		isOfType(t, err, fleet.ErrOutcomeUnknown)
		assert.Equal(t, body, text(events(1, 2)...))
		assert.Equal(t, len(s.sender.sent), 3)
	})
}
