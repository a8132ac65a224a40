package claims_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

var start = time.Unix(1000, 0)

type testLog struct {
	t    *testing.T
	fold *worklog.Fold
	next int64
}

func (l *testLog) append(at time.Time, w *worklog.Writer, e worklog.Entry) {
	r, err := w.Record(e)
	assert.NilError(l.t, err)
	r.Offset = l.next
	l.next++
	l.fold.Apply(at, []fleet.Record{r})
}

func newLog(t *testing.T) *testLog {
	l := &testLog{t: t, fold: worklog.NewFold()}
	for _, id := range []string{"old", "new"} {
		job := fleet.Job{ID: id}
		for _, item := range []string{"a", "b", "c", "d", "e", "f"} {
			job.Items = append(job.Items, fleet.Item{ID: item})
		}
		l.append(start, worklog.NewWriter("gateway"), worklog.Entry{Accept: &worklog.Accept{Job: job}})
	}
	return l
}

func params(now time.Time) claims.Params {
	return claims.Params{
		Self: "me", Now: now, ReadAt: now, ReadableSince: start, CanRun: func(*worklog.Job) bool { return true }, Shuffle: func(int, func(i, j int)) {},
		CanFinishInTime: func(*worklog.Job, *worklog.Item) bool { return true },
	}
}

// TestOldestJobsFirst checks that items of the oldest job are chosen first, and
// items of other jobs once those do not suffice.
func TestOldestJobsFirst(t *testing.T) {
	l := newLog(t)
	chosen := claims.Choose(params(start), l.fold, 1, 1)
	assert.Equal(t, len(chosen), 1)
	assert.Equal(t, chosen[0].Job, "old")
	assert.Equal(t, chosen[0].Replaces, int64(worklog.NoClaim))
	assert.Equal(t, len(claims.Choose(params(start), l.fold, 20, 20)), 12)
	assert.Equal(t, len(claims.Choose(params(start), l.fold, 0, 0)), 0)
	p := params(start)
	p.CanRun = func(job *worklog.Job) bool { return job.Accept.Job.ID == "new" }
	assert.Equal(t, claims.Choose(p, l.fold, 1, 1)[0].Job, "new")
}

// TestUnreadLogShowsNoSilence lets a process go on after a suspension, before it has read the log
// again. It must not take the items of holders whose heartbeats it has not read.
func TestUnreadLogShowsNoSilence(t *testing.T) {
	l := newLog(t)
	items := claims.Choose(params(start), l.fold, 20, 20)
	l.append(start, worklog.NewWriter("other"), worklog.Entry{Claim: &worklog.Claim{Items: items}})
	p := params(start.Add(10 * claims.HolderTimeout))
	for readAt, want := range map[time.Duration]int{0: 0, claims.HolderTimeout - 2*time.Second: 0, claims.HolderTimeout + time.Second: 12} {
		p.ReadAt = start.Add(readAt)
		assert.Equal(t, len(claims.Choose(p, l.fold, 20, 20)), want, "read %v after the holder's last record", readAt)
	}
}

// TestSilentHolder covers a holder that stops, an outage of the log in which no
// holder's records can be read, and a holder that keeps writing.
func TestSilentHolder(t *testing.T) {
	l := newLog(t)
	holder := worklog.NewWriter("other")
	items := claims.Choose(params(start), l.fold, 20, 20)
	l.append(start, holder, worklog.Entry{Claim: &worklog.Claim{Items: items}})
	free := func(now, since time.Time) int {
		p := params(now)
		p.ReadableSince = since
		return len(claims.Choose(p, l.fold, 20, 20))
	}
	soon, late := start.Add(claims.HolderTimeout), start.Add(claims.HolderTimeout+time.Second)
	assert.Equal(t, free(soon, start), 0)
	assert.Equal(t, free(late, start), 12, "a silent holder's items are free")
	assert.Equal(t, free(late, start.Add(2*time.Second)), 0, "silence counts only from when the log is readable again")
	l.append(soon, holder, worklog.Entry{Heartbeat: true})
	assert.Equal(t, free(late, start), 0, "a heartbeat keeps the items")
	p := params(late)
	p.Self = "other"
	assert.Equal(t, len(claims.Choose(p, l.fold, 20, 20)), 0, "own items are not claimed again")
}

// TestEarlierProcess covers a power failure: a restarted process claims the items
// of its instance's earlier process at once, but not those of other instances.
func TestEarlierProcess(t *testing.T) {
	l := newLog(t)
	earlier, other := worklog.NewProcessWriter("side-1"), worklog.NewProcessWriter("side-11")
	items := claims.Choose(params(start), l.fold, 20, 20)
	l.append(start, earlier, worklog.Entry{Claim: &worklog.Claim{Items: items[:5]}})
	l.append(start, other, worklog.Entry{Claim: &worklog.Claim{Items: items[5:]}})
	p := params(start)
	p.Self = worklog.NewProcessWriter("side-1").Name()
	assert.DeepEqual(t, len(claims.Choose(p, l.fold, 20, 20)), 5)
	p.Self = earlier.Name()
	assert.Equal(t, len(claims.Choose(p, l.fold, 20, 20)), 0, "own items are not claimed again")
}

// TestLateItemsWaitForIdleSlots checks that items that can't be finished in time
// are claimed only for idle slots.
func TestLateItemsWaitForIdleSlots(t *testing.T) {
	l := newLog(t)
	p := params(start)
	p.CanFinishInTime = func(job *worklog.Job, _ *worklog.Item) bool { return job.Accept.Job.ID == "new" }
	chosen := claims.Choose(p, l.fold, 4, 2)
	assert.Equal(t, len(chosen), 4)
	assert.Equal(t, chosen[0].Job, "new")
	chosen = claims.Choose(p, l.fold, 8, 8)
	assert.Equal(t, len(chosen), 8)
	assert.Equal(t, chosen[5].Job, "new")
	assert.Equal(t, chosen[6].Job, "old")
	assert.Equal(t, len(claims.Choose(p, l.fold, 8, 0)), 6)
}

// TestClaimOfLongIDsFits guards against a claim that the store never takes: as many items of a
// job with long IDs as there are slots are more than one record may hold.
func TestClaimOfLongIDsFits(t *testing.T) {
	const maxRecordBytes = 256 << 10
	var chosen []worklog.ClaimedItem
	for i := range 32 {
		chosen = append(chosen, worklog.ClaimedItem{ItemRef: worklog.ItemRef{Job: strings.Repeat("j", 16<<10), Item: strings.Repeat("i", i)}, Replaces: worklog.NoClaim})
	}
	fit := claims.Fit(chosen, maxRecordBytes)
	assert.Assert(t, len(fit) > 10 && len(fit) < len(chosen), "%d items", len(fit))
	record, err := worklog.NewProcessWriter("side-1").Record(worklog.Entry{Claim: &worklog.Claim{Items: fit}})
	assert.NilError(t, err)
	assert.Assert(t, len(record.Key)+len(record.Value) < maxRecordBytes)
	assert.Equal(t, len(claims.Fit(chosen, 0)), len(chosen), "no limit is known")
	assert.Equal(t, len(claims.Fit(chosen[:1], 100)), 1, "an item that was accepted is claimed")
}
