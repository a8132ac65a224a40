package expiry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/expiry"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestRetentionIsNeverCutShort guards against items that are given up before the retention under
// which they were accepted, or the one in force, is over, and against items without one.
func TestRetentionIsNeverCutShort(t *testing.T) {
	route := func(d time.Duration) *fleet.Route { return &fleet.Route{Retention: d} }
	accepted := func(d time.Duration) *worklog.Accept { return &worklog.Accept{RetentionMillis: d.Milliseconds()} }
	for name, c := range map[string]struct {
		route    *fleet.Route
		accepted *worklog.Accept
		want     time.Duration
	}{
		"unchanged":               {route(time.Minute), accepted(time.Minute), time.Minute},
		"shortened since":         {route(time.Second), accepted(time.Minute), time.Minute},
		"taken away since":        {route(0), accepted(time.Minute), time.Minute},
		"extended since":          {route(time.Hour), accepted(time.Minute), time.Hour},
		"of an earlier build":     {route(time.Minute), accepted(0), time.Minute},
		"not known":               {route(0), accepted(0), 0},
		"route removed":           {nil, accepted(time.Minute), time.Minute},
		"route removed, no limit": {nil, accepted(0), 0},
	} {
		assert.Equal(t, expiry.Retention(c.route, c.accepted), c.want, name)
		known := time.Unix(1000, 0)
		for age, want := range map[time.Duration][2]bool{
			0: {}, c.want - time.Millisecond: {}, c.want: {true, false}, 2*c.want - time.Millisecond: {true, false}, 2 * c.want: {true, true},
		} {
			if c.want == 0 {
				want, age = [2]bool{}, 1000*time.Hour
			}
			assert.Equal(t, expiry.IsExpired(known.Add(age), known, c.route, c.accepted), want[0], "%s, %v", name, age)
			assert.Equal(t, expiry.IsAbandoned(known.Add(age), known, c.route, c.accepted), want[1], "%s, %v", name, age)
		}
	}
}
