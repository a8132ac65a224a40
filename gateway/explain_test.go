package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/logs/logtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// staleAfter is the age of the last read of the targets above which the gateway counts
// as cut off from the store.
const staleAfter = 5 * time.Second

// cause finds why a request failed by the steps of docs/OPERATIONS.md: from the
// request's end, its last attempt, and then the events of that attempt's target.
func cause(t *testing.T, r *logtest.Recorder, id string) string {
	t.Helper()
	lines := r.Explain(id)
	end, last := logtest.Last(lines, "request ended"), logtest.Last(lines, "attempt")
	if end.Value("attempts") == "0" {
		return end.Value("reason")
	}
	outcome := last.Value("outcome")
	if end.Value("answer_begun") == "true" {
		return "stream: " + outcome + " after event " + end.Value("last_event") + ", " + end.Value("reason")
	}
	assert.Equal(t, end.Value("runs") == "0", end.Value("outcome") == "sycamoretally.refused", "a refusal must mean that no target ran the request")
	age, err := time.ParseDuration(last.Value("targets_age"))
	assert.NilError(t, err)
	if age > staleAfter && lineWith(r, "topic not readable", "topic", "targets") {
		return "cut from the store: " + outcome
	}
	if gone := logtest.Last(r.Explain(last.Value("target")), "target gone"); gone.Text != "" {
		return outcome + ", " + gone.Value("reason")
	}
	return outcome
}

func lineWith(r *logtest.Recorder, event, key, value string) bool {
	for _, line := range r.Explain(event) {
		if line.Value(key) == value {
			return true
		}
	}
	return false
}

// TestFailedRequestsAreExplained makes requests fail in known ways and checks that each
// cause can be found from the request's ID and the log alone.
func TestFailedRequestsAreExplained(t *testing.T) {
	full := step{verdict: fleet.VerdictNotRun, status: 503}
	other := step{verdict: fleet.VerdictWrongTarget, status: 421}
	unreachable := step{err: fleet.ErrNotDelivered.New("refused")}
	for name, test := range map[string]struct {
		route  string
		steps  []step
		before func(*fixture)
		want   string
	}{
		"targets restarted": {"safe", []step{other, other, other, other, other, other}, nil,
			"sycamoretally.elsewhere.another_lifetime, another lifetime answers at its address"},
		"targets are full":          {"unsafe", []step{full, full, full, full}, nil, "sycamoretally.elsewhere.target_full"},
		"targets cannot be reached": {"safe", []step{unreachable}, nil, "sycamoretally.elsewhere.no_answer"},
		"no target is registered":   {"safe", nil, func(s *fixture) { s.removeTargets() }, "the service has no target"},
		"the store is unavailable": {"safe", []step{unreachable}, func(s *fixture) {
			s.store.SetFaults(fleetstore.Faults{Down: true})
			time.Sleep(staleAfter + time.Second)
		}, "cut from the store: sycamoretally.elsewhere.no_answer"},
		"a stream breaks off too often": {"resumable", []step{{events: events(1, 2), broken: true}, {events: events(3, 3), broken: true}}, nil,
			"stream: sycamoretally.elsewhere.answer_cut after event 3, no attempt left"},
		"a stream exceeds its deadline": {"stream", []step{{events: events(1, 1), silent: true}}, nil,
			"stream: sycamoretally.uncertain.timed_out after event 1, deadline exceeded or caller disconnected"},
	} {
		t.Run(name, func(t *testing.T) {
			recording := logtest.Start(t)
			synctest.Test(t, func(t *testing.T) {
				s := startGateway(t, newStore(t), test.steps...)
				defer s.stop()
				if test.before != nil {
					test.before(s)
				}
				_, err := s.serve(t.Context(), test.route)
				assert.Assert(t, err != nil)
			})
			recording.Stop()
			assert.Equal(t, cause(t, recording, "r1"), test.want)
		})
	}
}

// TestRequestLogLines checks that the log line of each attempt and of the request's end
// parses and names the request.
func TestRequestLogLines(t *testing.T) {
	recording := logtest.Start(t)
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{err: fleet.ErrAnswerBroken.New("lost")}, step{events: events(1, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "safe")
		assert.NilError(t, err)
	})
	recording.Stop()
	var kinds []string
	for _, line := range recording.Explain("r1") {
		kinds = append(kinds, line.Value("event")+" "+line.Value("outcome"))
	}
	assert.DeepEqual(t, kinds, []string{"attempt sycamoretally.elsewhere.no_answer", "attempt answered", "request ended answered"})
}

// TestDeniedJobCallsAreExplained checks that the log tells a job that the gateway does not
// know from a job without the item that was asked for.
func TestDeniedJobCallsAreExplained(t *testing.T) {
	recording := logtest.Start(t)
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		assert.NilError(t, s.submit(job("known", 3)))
		_, err := s.Results(t.Context(), nil, "unknown", 1, 0)
		assert.Assert(t, err != nil)
		_, err = s.ItemBody(t.Context(), nil, "known", "i9")
		assert.Assert(t, err != nil)
	})
	recording.Stop()
	for id, want := range map[string][]string{
		"unknown": {"its results", "false", "0"},
		"known":   {"the body of item i9", "true", "3"},
	} {
		line := logtest.Last(recording.Explain(id), "job call denied")
		assert.DeepEqual(t, []string{line.Value("sought"), line.Value("known"), line.Value("items")}, want)
	}
}
