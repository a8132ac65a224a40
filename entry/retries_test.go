package entry

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// TestRetriesStayBounded lets every attempt of many requests fail with the same
// error. Errors that overload can cause may add retries for at most a tenth of
// the requests; after errors that show the loss of a process, the retries are
// bounded by the attempts of each request.
func TestRetriesStayBounded(t *testing.T) {
	const requests, attempts = 1000, 3
	overload := extraAttemptBurst + int(retryRatio*requests)
	tests := map[string]struct {
		err   error
		bound int
	}{
		"busy":            {protocol.ErrBusy.New("full"), overload},
		"target stalled":  {protocol.ErrTruncated.New("nothing came"), overload},
		"timeout":         {protocol.ErrTimeout.New("late"), overload},
		"target failed":   {protocol.ErrTargetFailed.New("status 500"), overload},
		"connection lost": {protocol.ErrConnectionLost.New("reset"), requests * (attempts - 1)},
		"not sent":        {protocol.ErrNotSent.New("refused"), requests * (attempts - 1)},
		"refused request": {protocol.ErrBadRequest.New("no"), 0},
		"no target":       {protocol.ErrNoTarget.New("none"), 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &Entry{policy: newPolicy(settings.Policy{}), metrics: newMetrics(), settings: &settings.Settings{}}
				e.settings.Entry.Attempts = attempts
				retries := 0
				for range requests {
					e.policy.deposit()
					d := &dispatcher{entry: e, request: &request{repeatable: true}, waitsForSlot: !e.policy.retries.Available()}
					for n := 1; n < attempts && d.request.mayRetry(test.err) && d.prepareRetry(t.Context(), n, test.err); n++ {
						retries++
					}
				}
				assert.Assert(t, retries <= test.bound, "%d retries of %d requests", retries, requests)
			})
		})
	}
}

// TestMovedRequestGetsMoreAttempts uses up the retry budget. A request that gave
// its slot to shorter work must still get further attempts, and no more than
// attemptsPerMove.
func TestMovedRequestGetsMoreAttempts(t *testing.T) {
	const attempts = 4
	synctest.Test(t, func(t *testing.T) {
		e := &Entry{policy: newPolicy(settings.Policy{}), metrics: newMetrics(), settings: &settings.Settings{}}
		e.settings.Entry.Attempts = attempts
		for e.policy.retries.TryWithdraw() {
		}
		busy := protocol.ErrBusy.New("full")
		still := &dispatcher{entry: e, request: &request{repeatable: true}, waitsForSlot: true}
		assert.Assert(t, !still.prepareRetry(t.Context(), 1, busy))
		moved := &dispatcher{entry: e, request: &request{repeatable: true}, waitsForSlot: true, moves: 1}
		made := 1
		for made < moved.maxAttempts() && moved.prepareRetry(t.Context(), made, busy) {
			made++
		}
		assert.Equal(t, made, attempts+attemptsPerMove)
	})
}

// TestFinalError checks the outcome reported for a request whose last attempt
// was refused.
func TestFinalError(t *testing.T) {
	busy, refused := protocol.ErrBusy.New("full"), protocol.ErrBadRequest.New("no")
	tests := map[string]struct {
		ran     bool
		err     error
		outcome protocol.Outcome
	}{
		"nothing ran":                 {false, busy, protocol.OutcomeNotRun},
		"an earlier attempt ran":      {true, busy, protocol.OutcomeUnknown},
		"an earlier one, no target":   {true, protocol.ErrNoTarget.New("none"), protocol.OutcomeUnknown},
		"refused for good after that": {true, refused, protocol.OutcomeOf(refused)},
		"convicted after that":        {true, protocol.ErrQuarantined.New("crashes"), protocol.OutcomeFailed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := &dispatcher{mayHaveRun: test.ran}
			assert.Equal(t, protocol.OutcomeOf(d.finalError(test.err)), test.outcome)
		})
	}
}
