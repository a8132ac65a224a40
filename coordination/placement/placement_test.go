package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestHolderStopsBeforeRevocation checks the order of the two clocks: whatever
// the delays of the log, the holder's lease has lapsed before others revoke it.
func TestHolderStopsBeforeRevocation(t *testing.T) {
	begin := time.Now()
	for _, delay := range []time.Duration{0, time.Millisecond, time.Second, time.Minute} {
		var lease Lease
		lease.Confirm(begin)
		o := NewStallDetector(RevokeAfter)
		turns := map[string]protocol.Position{"t": 7}
		folded := begin.Add(delay)
		assert.Equal(t, len(o.Stalled(folded, turns)), 0)
		for after := time.Duration(0); ; after += 100 * time.Millisecond {
			now := folded.Add(after)
			if len(o.Stalled(now, turns)) > 0 {
				assert.Assert(t, !lease.Valid(now))
				break
			}
		}
	}
}

func TestLease(t *testing.T) {
	now := time.Now()
	var lease Lease
	assert.Assert(t, !lease.Valid(now), "a lease never proved is not valid")
	lease.Confirm(now)
	lease.Confirm(now.Add(-time.Hour))
	assert.Assert(t, lease.Valid(now.Add(LeaseDuration-1)))
	assert.Assert(t, !lease.Valid(now.Add(LeaseDuration)))
	assert.Equal(t, lease.OrderDeadline(), now.Add(OrderWindow))
}

func TestRenewalRestartsSilence(t *testing.T) {
	now := time.Now()
	o := NewStallDetector(RevokeAfter)
	assert.Equal(t, len(o.Stalled(now, map[string]protocol.Position{"t": 1})), 0)
	assert.Equal(t, len(o.Stalled(now.Add(RevokeAfter), map[string]protocol.Position{"t": 2})), 0)
	assert.Equal(t, len(o.Stalled(now.Add(2*RevokeAfter), map[string]protocol.Position{"t": 2})), 0)
	assert.DeepEqual(t, o.Stalled(now.Add(2*RevokeAfter+1), map[string]protocol.Position{"t": 2}), []protocol.LoadRevoke{{Target: "t", Seen: 2}})
}
