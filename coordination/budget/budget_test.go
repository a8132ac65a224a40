package budget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSpentStaysWithinRatio spends as often as the budget lets: never more than
// the burst and the ratio of the requests.
func TestSpentStaysWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Params{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Burst: rapid.Float64Range(0, 20).Draw(t, "burst"),
		}
		b := New(p)
		requests := 0
		for _, earn := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if earn {
				b.Deposit()
				requests++
			} else {
				b.TryWithdraw()
			}
			spent, _ := b.Counts()
			if float64(spent) > p.Burst+p.Ratio*float64(requests)+1e-9 {
				t.Fatalf("spent %d of %d requests with %+v", spent, requests, p)
			}
		}
	})
}

// TestRetryStormDies models a metastable failure: every attempt fails for a
// while, and each failure asks for a retry. With the budget the attempts stay
// near the requests, so the load falls back once targets recover.
func TestRetryStormDies(t *testing.T) {
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
	assert.Assert(t, attempts <= requests+requests/10+10, "%d attempts of %d requests", attempts, requests)
}
