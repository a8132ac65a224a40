package batcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/logs/logtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// cause finds why an item ended as a dead letter, or late, by the steps of
// docs/OPERATIONS.md.
func cause(t *testing.T, r *logtest.Recorder, item string) string {
	t.Helper()
	lines := r.Explain(item)
	end := logtest.Last(lines, "item run ended")
	if end.Value("outcome") == "given_up" {
		return "its retention is over: " + end.Value("error")
	}
	if end.Value("outcome") == "dead" {
		return deadLetterCause(end)
	}
	if back := logtest.Last(lines, "item given back"); back.Text != "" {
		return "given back: " + back.Value("reason")
	}
	if claimed := logtest.Last(lines, "item claimed"); claimed.Value("over") != "-1" {
		return "taken over from an unresponsive holder"
	}
	held, err := time.ParseDuration(end.Value("held"))
	assert.NilError(t, err)
	ran, err := time.ParseDuration(end.Value("ran"))
	assert.NilError(t, err)
	if held > 2*ran {
		return "waited for online requests"
	}
	return "not delayed"
}

// deadLetterCause finds why an item ended as a dead letter.
func deadLetterCause(end logs.Line) string {
	switch end.Value("status") {
	case "422":
		return "the target cannot process it"
	case "500":
		return "failed " + end.Value("failures") + " times"
	default:
		return "its route has been removed"
	}
}

// TestBadItemsAreExplained makes items fail or end late in known ways and checks that each
// cause can be found from the item's ID and the log alone.
func TestBadItemsAreExplained(t *testing.T) {
	for name, test := range map[string]struct {
		play func(*fixture, *target) *batcher.Batcher
		want string
	}{
		"item cannot be processed": {func(s *fixture, e *target) *batcher.Batcher {
			e.statuses["j0"] = []int{422}
			s.accept("j", 1)
			return s.start("b", e)
		}, "the target cannot process it"},
		"item fails each time": {func(s *fixture, e *target) *batcher.Batcher {
			e.statuses["j0"] = []int{500, 500, 500}
			s.accept("j", 1)
			return s.start("b", e)
		}, "failed 3 times"},
		"route removed": {func(s *fixture, e *target) *batcher.Batcher {
			s.config = fleet.NewConfiguration(1, nil, []*fleet.Service{{Name: "llm", Slots: slots}}, fleet.Limits{})
			s.accept("j", 1)
			return s.start("b", e)
		}, "its route has been removed"},
		"refused until its retention is over": {func(s *fixture, e *target) *batcher.Batcher {
			s.keepFor(testRetention)
			e.refused = map[string]bool{"j0": true}
			s.accept("j", 1)
			return s.start("b", e)
		}, "its retention is over: sycamoretally.answer_broken"},
		"holder lost": {func(s *fixture, e *target) *batcher.Batcher {
			s.accept("j", 1)
			s.claimBy("gone", "j", "j0")
			return s.start("b", e)
		}, "taken over from an unresponsive holder"},
		"target drained": {func(s *fixture, e *target) *batcher.Batcher {
			s.accept("j", 1)
			b := s.start("b", e)
			time.Sleep(1500 * time.Millisecond)
			e.set(func(e *target) { e.draining = true })
			return b
		}, "given back: the target is draining"},
		"online work": {func(s *fixture, e *target) *batcher.Batcher {
			s.accept("j", 1)
			b := s.start("b", e)
			time.Sleep(1500 * time.Millisecond)
			e.set(func(e *target) { e.online = slots })
			time.Sleep(5 * time.Second)
			e.set(func(e *target) { e.online = 0 })
			return b
		}, "waited for online requests"},
	} {
		t.Run(name, func(t *testing.T) {
			recording := logtest.Start(t)
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				b := test.play(s, e)
				time.Sleep(30 * time.Second)
				assert.NilError(t, b.Stop())
			})
			recording.Stop()
			assert.Equal(t, cause(t, recording, "j0"), test.want)
		})
	}
}

// claimBy claims an item on behalf of a writer that does not run.
func (s *fixture) claimBy(writer, job, item string) {
	s.t.Helper()
	own := s.writer
	s.writer = worklog.NewWriter(writer)
	s.appendEntry(worklog.Entry{Claim: &worklog.Claim{Items: []worklog.ClaimedItem{{ItemRef: worklog.ItemRef{Job: job, Item: item}, Replaces: worklog.NoClaim}}}})
	s.writer = own
}
