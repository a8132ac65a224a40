package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFoldWithoutLateRenewals makes the fold anew while presence records are renewed. Those come
// in a later read: a gateway that took the fold for complete would see few others, or not find
// itself, and decide about too much or nothing.
func TestFoldWithoutLateRenewals(t *testing.T) {
	g := &Gateway{rebuiltAt: time.Unix(1, 0)}
	r := &Rates{g: g}
	assert.Assert(t, !r.isFoldComplete(10*time.Second, 9*time.Second), "read before it was made")
	assert.Assert(t, !r.isFoldComplete(11*time.Second, 9900*time.Millisecond))
	assert.Assert(t, r.isFoldComplete(11*time.Second, 10400*time.Millisecond))
	g.rebuiltAt = time.Unix(2, 0) // the store no longer had the next records
	assert.Assert(t, !r.isFoldComplete(20*time.Second, 19900*time.Millisecond))
	assert.Assert(t, r.isFoldComplete(21*time.Second, 20100*time.Millisecond))
}
