package gateway_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestEndlessAnswers lets a target send an answer that never ends, of a kind whose bytes
// a gateway must collect before it can pass them on, or which keeps a stream alive without
// a new event. The request must leave the target and be answered by another one.
func TestEndlessAnswers(t *testing.T) {
	filler := strings.Repeat("x", 4<<10)
	for name, test := range map[string]struct {
		route  string
		first  step
		limits []string
	}{
		"event":    {"resumable", step{events: events(1, 1), endless: filler}, []string{"event"}},
		"comments": {"resumable", step{events: events(1, 1), endless: ": wait\n\n", pause: 100 * time.Millisecond}, nil},
		"bytes":    {"resumable", step{events: events(1, 1), endless: "x", pause: 100 * time.Millisecond}, nil},
		"body":     {"safe", step{events: events(1, 1), endless: filler}, []string{"body"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				second := step{events: events(2, 3)}
				if test.route == "safe" {
					second = step{events: events(1, 3)}
				}
				s := startGateway(t, newStore(t), test.first, second)
				defer s.stop()
				begun := time.Now()
				body, err := s.serve(t.Context(), test.route)
				assert.NilError(t, err)
				assert.Equal(t, strings.ReplaceAll(body, ": wait\n\n", ""), fullStream)
				assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
				assert.Assert(t, s.sender.sent[0].Target.ID != s.sender.sent[1].Target.ID)
				assert.DeepEqual(t, s.oversizedAnswers(), test.limits)
			})
		})
	}
}

// oversizedAnswers returns the limits that answers have exceeded, by the gateway's counter.
func (s *fixture) oversizedAnswers() []string {
	families, err := s.Metrics().Gather()
	assert.NilError(s.t, err)
	var limits []string
	for _, f := range families {
		if f.GetName() != "sycamoretally_gateway_oversized_answers_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			limits = append(limits, m.GetLabel()[0].GetValue())
		}
	}
	return limits
}

// TestSlowStreamIsKept checks that a stream is not taken for endless whose events come
// slowly and add up to more than one event may have.
func TestSlowStreamIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		line := "id: " + nextNumber + "\ndata: " + strings.Repeat("x", 4<<10) + "\n\n"
		s := startGateway(t, newStore(t), step{events: events(1, 1), endless: line, pause: 30 * time.Millisecond})
		defer s.stop()
		body, err := s.serve(t.Context(), "resumable")
		assert.ErrorContains(t, err, "deadline", "the route's timeout ends it")
		assert.Assert(t, len(body) > 2*fleet.MaxEventBytes, "%d bytes", len(body))
		assert.Equal(t, len(s.sender.sent), 1)
	})
}
