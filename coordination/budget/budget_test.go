package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestWithdrawnStaysWithinRatio checks that no sequence of deposits and
// withdrawals takes more than the burst plus the ratio of the requests.
func TestWithdrawnStaysWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Burst: rapid.Float64Range(0, 20).Draw(t, "burst"),
		}
		b := New(p)
		requests := 0
		for _, deposit := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if deposit {
				b.Deposit()
				requests++
			} else {
				b.TryWithdraw()
			}
			withdrawn, _ := b.Counts()
			if float64(withdrawn) > p.Burst+p.Ratio*float64(requests)+1e-9 {
				t.Fatalf("%d extra attempts for %d requests with %+v", withdrawn, requests, p)
			}
		}
	})
}

// TestBudgetLimitsRetryStorm models a metastable failure: every attempt fails,
// and each failure asks for a retry. The budget keeps the number of attempts close
// to the number of requests, so that the load falls once the targets recover.
func TestBudgetLimitsRetryStorm(t *testing.T) {
	const requests, attemptsEach = 1000, 4
	b := New(Params{Ratio: 0.1, Burst: 10})
	attempts := 0
	for range requests {
		b.Deposit()
		attempts++
		for range attemptsEach - 1 {
			if !b.TryWithdraw() {
				break
			}
			attempts++
		}
	}
	assert.Assert(t, attempts <= requests+requests/10+10, "%d attempts for %d requests", attempts, requests)
}
