package claims_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestLateClaimIsNoticed appends a claim of this process that the process has given up, and
// claims of others: only the item that nobody runs must be returned, until it is handed back.
func TestLateClaimIsNoticed(t *testing.T) {
	l := newLog(t)
	me := worklog.NewWriter("me")
	claim := func(w *worklog.Writer, item string) worklog.ItemRef {
		ref := worklog.ItemRef{Job: "old", Item: item}
		l.append(start, w, worklog.Entry{Claim: &worklog.Claim{Items: []worklog.ClaimedItem{{ItemRef: ref, Replaces: worklog.NoClaim}}}})
		return ref
	}
	held, late := claim(me, "a"), claim(me, "b")
	claim(worklog.NewWriter("other"), "c")
	isHeld := func(ref worklog.ItemRef) bool { return ref == held }
	assert.DeepEqual(t, claims.Unheld(l.fold, "me", isHeld), []worklog.ItemRef{late})
	l.append(start, me, worklog.Entry{Release: &worklog.Release{ItemRef: late}})
	assert.Equal(t, len(claims.Unheld(l.fold, "me", isHeld)), 0)
}
