package spare_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/spare"
)

// TestInflowBetweenReports replays a step of requests that are announced between two
// looks at the target.
func TestInflowBetweenReports(t *testing.T) {
	const window = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	inflow := spare.Inflow{Window: window}
	inflow.Report(2)
	for announced := range 5 {
		assert.Equal(t, inflow.Online(now), 2+announced)
		inflow.Announce(now)
		now = now.Add(time.Millisecond)
	}
	inflow.Report(7)
	assert.Equal(t, inflow.Online(now.Add(window)), 7, "the report shows those announced before")
}
