package soak

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// longItems is the layout of a site whose items run for several seconds.
var longItems = layout{gateways: 1, modelTargets: 2, callTargets: 1, eventTime: 400 * time.Millisecond}

// suspension is longer than the silence after which the items of a holder are free.
const suspension = 6 * time.Second

// TestSuspendedBatcherTakesNothingOver suspends a batcher while the other one runs all items. When
// it goes on, the log that it has read last shows no heartbeat of the other one for seconds. It
// must not take items over that the other one is running.
func TestSuspendedBatcherTakesNothingOver(t *testing.T) {
	s := newSite(t, binary, longItems)
	l := newRecorder()
	suspended := s.batchers[1]
	assert.NilError(t, suspended.process.Signal(syscall.SIGSTOP))
	s.newReader(l).submitJob(t.Context())
	sleep(t.Context(), time.Second)
	assert.NilError(t, suspended.process.Signal(syscall.SIGCONT))
	sleep(t.Context(), time.Second)
	assert.NilError(t, suspended.process.Signal(syscall.SIGSTOP))
	sleep(t.Context(), suspension)
	assert.NilError(t, suspended.process.Signal(syscall.SIGCONT))
	sleep(t.Context(), time.Second)
	ranAt := map[string]map[string]bool{}
	for _, run := range s.journal.Runs() {
		if ranAt[run.Request] == nil {
			ranAt[run.Request] = map[string]bool{}
		}
		ranAt[run.Request][run.Target] = true
	}
	assert.Assert(t, len(ranAt) > 0)
	for item, targets := range ranAt {
		assert.Check(t, len(targets) == 1, "%s, held by a batcher that was running it, ran at %v", item, targets)
	}
}
