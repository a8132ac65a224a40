package claims_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestBacklogBesideBatchers leaves items free in the work log: with more of them than batchers
// every slot that becomes free is spoken for, and waiting items must not be given back; a few,
// or those that were only just freed, are no reason to keep others.
func TestBacklogBesideBatchers(t *testing.T) {
	l := newLog(t)
	ref := func(item string) worklog.ClaimedItem {
		return worklog.ClaimedItem{ItemRef: worklog.ItemRef{Job: "old", Item: item}, Replaces: worklog.NoClaim}
	}
	later := start.Add(2 * time.Second)
	every := func(*worklog.Job) bool { return true }
	assert.Assert(t, claims.HasBacklog(later, l.fold, every), "no batcher has claimed any of twelve items")
	assert.Assert(t, !claims.HasBacklog(start.Add(100*time.Millisecond), l.fold, every), "the items have just come")
	assert.Assert(t, !claims.HasBacklog(later, l.fold, func(*worklog.Job) bool { return false }), "items of other services")
	for _, item := range []string{"a", "b", "c"} {
		l.append(later, worklog.NewProcessWriter("batcher-"+item), worklog.Entry{Claim: &worklog.Claim{Items: []worklog.ClaimedItem{ref(item)}}})
	}
	assert.Assert(t, claims.HasBacklog(later, l.fold, every), "nine items for three batchers")
	l.append(later, worklog.NewWriter("gateway"), worklog.Entry{End: &worklog.End{Job: "new"}})
	assert.Assert(t, !claims.HasBacklog(later, l.fold, every), "three items for three batchers")
}
