package entry

import (
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// TestRetriesStayBounded has every attempt of many requests fail in one way. What
// overload can cause costs at most a tenth of the requests in retries; what the
// loss of a process causes is bounded by the attempts of each request.
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
					run := &dispatcher{entry: e, request: &request{repeatable: true}, waitsForSlot: !e.policy.retries.Available()}
					for n := 1; n < attempts && run.request.mayRetry(test.err) && run.prepareRetry(t.Context(), n, test.err); n++ {
						retries++
					}
				}
				assert.Assert(t, retries <= test.bound, "%d retries of %d requests", retries, requests)
			})
		})
	}
}

// TestMovedRequestGoesOn spends the whole budget of retries: a request that gave
// its slot to shorter work still gets further attempts, and only so many.
func TestMovedRequestGoesOn(t *testing.T) {
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

// TestVerdict checks what a request is told whose last attempt was refused.
func TestVerdict(t *testing.T) {
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
			run := &dispatcher{mayHaveRun: test.ran}
			assert.Equal(t, protocol.OutcomeOf(run.finalError(test.err)), test.outcome)
		})
	}
}
