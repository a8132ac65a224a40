package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestLostGatewayDoesNotStopRestartedOnes restarts all gateways but one that is gone for good and
// whose record is still there. The owner of a workspace must decide as soon as the deputies have
// confirmed it, and not after the whole lease of the lost one; but where the lost one is a
// deputy, it might stand in for the owner, which must wait.
func TestLostGatewayDoesNotStopRestartedOnes(t *testing.T) {
	order := byRank("a", "b", "c", "d", "e")
	rate := fleet.Rate{PerSecond: 10, Burst: 10}
	decidesAt := func(lost string) time.Duration {
		h := NewHolder(NewMembers(order[0], order[0]+"-1"), testBounds, 0, newCounter())
		ids := newCounter()
		for at := time.Duration(0); at <= 2*testLease; at += 100 * time.Millisecond {
			h.keep(at, order...)
			for _, name := range order[1:] {
				if name != lost {
					h.Confirmed(at, name, at)
				}
			}
			if a, answered, _ := h.Handle(at, "caller", ids(), ask(rate, 1)); answered && a.Verdict == fleet.RateAdmitted {
				return at
			}
		}
		return -1
	}
	last := decidesAt(order[4])
	assert.Assert(t, last >= confirmPatience && last <= time.Second, "%v", last)
	deputy := decidesAt(order[2])
	assert.Assert(t, deputy >= testLease, "%v", deputy)
}
