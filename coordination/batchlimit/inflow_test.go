package batchlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
)

// TestInflowBetweenReports replays a step of requests that are announced between two
// looks at the target.
func TestInflowBetweenReports(t *testing.T) {
	const window = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	inflow := batchlimit.OnlineCounter{Window: window}
	inflow.SetReported(2)
	for announced := range 5 {
		assert.Equal(t, inflow.Count(now), 2+announced)
		inflow.Announce(now)
		now = now.Add(time.Millisecond)
	}
	inflow.SetReported(7)
	assert.Equal(t, inflow.Count(now.Add(window)), 7, "the report shows those announced before")
}
