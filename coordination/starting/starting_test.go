package starting_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/starting"
)

// abandonedAfter is the time after which callers leave a process that has not read their
// request.
const abandonedAfter = time.Second

// callersShare is the share of the time left after which they leave as well.
const callersShare = 3

// TestWaitLeavesTimeToServe lets requests arrive at a process that has just started. None
// may wait for so long that its caller has left, or has no time left to be served.
func TestWaitLeavesTimeToServe(t *testing.T) {
	started := time.Unix(1000, 0)
	gate := starting.NewGate(started)
	for _, left := range []time.Duration{time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
		wait := gate.Enter(starting.Arrival{Now: started, Deadline: started.Add(left)})
		assert.Assert(t, wait > 0 && wait < abandonedAfter && wait < left/callersShare, "%v of %v", wait, left)
	}
	wait := gate.Enter(starting.Arrival{Now: started})
	assert.Assert(t, wait > 0 && wait < abandonedAfter)
	assert.Equal(t, gate.Enter(starting.Arrival{Now: started, Deadline: started}), time.Duration(0), "no time is left")
}

// TestNoWaitInVain refuses at once what is not likely to be served: where the store fails,
// and where the first reads have taken for so long that another process serves sooner. A
// caller that is held and then refused has lost the time for another try.
func TestNoWaitInVain(t *testing.T) {
	started := time.Unix(1000, 0)
	gate := starting.NewGate(started)
	assert.Equal(t, gate.Enter(starting.Arrival{Now: started, StoreFails: true}), time.Duration(0))
	assert.Equal(t, gate.Enter(starting.Arrival{Now: started.Add(5 * time.Second)}), time.Duration(0))
	assert.Equal(t, gate.Waiting(), 0)
	assert.Assert(t, gate.RetryAfter() > 0)
}

// TestWaitingRequestsAreBounded lets all callers come at the same moment, as after a loss of
// power. The process must not keep them all, and must take others once some have left.
func TestWaitingRequestsAreBounded(t *testing.T) {
	started := time.Unix(1000, 0)
	gate := starting.NewGate(started)
	admitted := 0
	for range 10_000 {
		if gate.Enter(starting.Arrival{Now: started}) > 0 {
			admitted++
		}
	}
	assert.Assert(t, admitted > 0 && admitted < 1000, "%d", admitted)
	assert.Equal(t, gate.Waiting(), admitted)
	gate.Leave()
	assert.Assert(t, gate.Enter(starting.Arrival{Now: started}) > 0)
}
