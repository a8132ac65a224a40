package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestLeaseExpiresBeforeRevocation checks that, whatever the delay of the log, the
// holder's lease has expired before an observer revokes it.
func TestLeaseExpiresBeforeRevocation(t *testing.T) {
	begin := time.Now()
	for _, delay := range []time.Duration{0, time.Millisecond, time.Second, time.Minute} {
		var lease Lease
		lease.Confirm(begin)
		d := NewStallDetector(RevokeAfter)
		leases := map[string]protocol.Position{"t": 7}
		folded := begin.Add(delay)
		assert.Equal(t, len(d.Stalled(folded, leases)), 0)
		for after := time.Duration(0); ; after += 100 * time.Millisecond {
			now := folded.Add(after)
			if len(d.Stalled(now, leases)) > 0 {
				assert.Assert(t, !lease.Valid(now))
				break
			}
		}
	}
}

func TestLease(t *testing.T) {
	now := time.Now()
	var lease Lease
	assert.Assert(t, !lease.Valid(now), "a lease that was never confirmed is not valid")
	lease.Confirm(now)
	lease.Confirm(now.Add(-time.Hour))
	assert.Assert(t, lease.Valid(now.Add(LeaseDuration-1)))
	assert.Assert(t, !lease.Valid(now.Add(LeaseDuration)))
	assert.Equal(t, lease.OrderDeadline(), now.Add(OrderWindow))
}

func TestRenewalRestartsTimeout(t *testing.T) {
	now := time.Now()
	d := NewStallDetector(RevokeAfter)
	assert.Equal(t, len(d.Stalled(now, map[string]protocol.Position{"t": 1})), 0)
	assert.Equal(t, len(d.Stalled(now.Add(RevokeAfter), map[string]protocol.Position{"t": 2})), 0)
	assert.Equal(t, len(d.Stalled(now.Add(2*RevokeAfter), map[string]protocol.Position{"t": 2})), 0)
	assert.DeepEqual(t, d.Stalled(now.Add(2*RevokeAfter+1), map[string]protocol.Position{"t": 2}), []protocol.LoadRevoke{{Target: "t", Seen: 2}})
}
