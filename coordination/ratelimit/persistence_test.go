package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/ratelimit"
)

// TestUndecidedRequestsAreNotRefusedAtOnce replays the return of power at a whole site: no owner
// decides for a second and a half, and callers come once and once more 300 ms after a refusal.
// A request with five seconds left must be held until an owner decides, and one that has little
// time left, or comes while many are held, must be refused early enough to be sent elsewhere.
func TestUndecidedRequestsAreNotRefusedAtOnce(t *testing.T) {
	const decides = 1500 * time.Millisecond
	held := func(left time.Duration, undecided int) (until time.Duration, served bool) {
		p := ratelimit.NewPersistence(0, left, undecided)
		for now := time.Duration(0); ; {
			if now >= decides {
				return now, true
			}
			pause, again := p.Next(now, 0.5)
			if !again {
				return now, false
			}
			now += pause
		}
	}
	_, served := held(5*time.Second, 0)
	assert.Assert(t, served)
	until, served := held(900*time.Millisecond, 0)
	assert.Assert(t, !served && until <= 300*time.Millisecond, "%v", until)
	until, served = held(5*time.Second, 256)
	assert.Assert(t, !served && until == 0, "%v", until)
}
