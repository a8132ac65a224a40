package batchlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
)

// TestCountBetweenReports announces several requests between two reports of the
// target: each is counted at once, and only once when the next report includes it.
func TestCountBetweenReports(t *testing.T) {
	const window = 40 * time.Millisecond
	now := time.Unix(1000, 0)
	counter := batchlimit.OnlineCounter{Window: window}
	counter.SetReported(2)
	for announced := range 5 {
		assert.Equal(t, counter.Count(now), 2+announced)
		counter.Announce(now)
		now = now.Add(time.Millisecond)
	}
	counter.SetReported(7)
	assert.Equal(t, counter.Count(now.Add(window)), 7, "the report includes the requests announced before it")
}
