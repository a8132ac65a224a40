package batch

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// fakeJobs is a set of running jobs.
type fakeJobs struct {
	running []state.RunningJob
	done    map[suspectID]bool
}

func (f *fakeJobs) Running() []state.RunningJob         { return f.running }
func (f *fakeJobs) ItemDone(job string, index int) bool { return f.done[suspectID{job, index}] }

func (f *fakeJobs) add(name, workspace string, items int, due time.Time) {
	f.running = append(f.running[:len(f.running):len(f.running)], state.RunningJob{
		Job: name, Workspace: workspace, Service: "drafting", Items: items,
		DueUnixMillis: due.UnixMilli(), AcceptedAt: protocol.PositionAt(uint64(len(f.running)+1), 0),
	})
}

// fixture is a scheduler over fake jobs with a clock of its own.
type fixture struct {
	*Scheduler
	jobs   *fakeJobs
	now    time.Time
	shares map[string]float64
}

var epoch = time.Unix(1_700_000_000, 0)

func newFixture() *fixture {
	f := &fixture{jobs: &fakeJobs{done: map[suspectID]bool{}}, now: epoch, shares: map[string]float64{}}
	id := 0
	f.Scheduler = New(Params{
		Jobs:    f.jobs,
		Self:    "a",
		Members: func() []string { return []string{"a"} },
		Weight:  func(workspace string) float64 { return f.shares[workspace] },
		NewID:   func() string { id++; return strconv.Itoa(id) },
	})
	return f
}

func always(string) bool { return true }

func (f *fixture) pull(target string, want int, idle bool) Assignment {
	return f.Next(f.now, Pull{Target: target, Want: want, Idle: idle, Serves: always})
}

// finish gives the item a result.
func (f *fixture) finish(r LeasedItem) {
	f.jobs.done[suspectID{r.Job, r.Index}] = true
	f.Finish(f.now, r.Job, r.Index)
}

func TestEveryItemIsHandedOutOnce(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 100, epoch)
	seen := map[int]bool{}
	for range 40 {
		for _, r := range f.pull("t", 3, false).Items {
			assert.Assert(t, !seen[r.Index], "item %d twice", r.Index)
			seen[r.Index] = true
		}
	}
	assert.Equal(t, len(seen), 100)
	assert.Assert(t, !f.Available(f.now, always))
}

func TestSoonerDueFirst(t *testing.T) {
	f := newFixture()
	f.jobs.add("late", "w", 4, epoch.Add(2*time.Hour))
	f.jobs.add("soon", "w", 4, epoch.Add(time.Hour))
	for i := range 8 {
		want := "soon"
		if i >= 4 {
			want = "late"
		}
		assert.Equal(t, f.pull("t", 1, false).Items[0].Job, want)
	}
}

// counts pulls n items one by one and counts them by job.
func (f *fixture) counts(n int) map[string]int {
	counts := map[string]int{}
	for range n {
		for _, r := range f.pull("t", 1, false).Items {
			counts[r.Job]++
			f.now = f.now.Add(time.Millisecond)
			f.finish(r)
		}
	}
	return counts
}

func TestWorkspacesShareByWeight(t *testing.T) {
	f := newFixture()
	f.shares["big"] = 3
	due := epoch.Add(24 * time.Hour)
	f.jobs.add("large", "big", 10_000, due)
	f.jobs.add("small", "little", 10_000, due)
	counts := f.counts(400)
	assert.Equal(t, counts["large"], 300)
	assert.Equal(t, counts["small"], 100)
}

func TestWorkspaceOfOneJobIsNotStarved(t *testing.T) {
	f := newFixture()
	due := epoch.Add(24 * time.Hour)
	for i := range 50 {
		f.jobs.add(fmt.Sprintf("flood-%d", i), "flood", 1000, due)
	}
	f.counts(100)
	f.jobs.add("single", "other", 40, due.Add(time.Hour))
	assert.Equal(t, f.counts(80)["single"], 40)
}

func TestIdleTimeGivesNoClaim(t *testing.T) {
	f := newFixture()
	due := epoch.Add(24 * time.Hour)
	f.jobs.add("a", "a", 10_000, due)
	f.jobs.add("b", "b", 2, due)
	f.counts(1000)
	f.jobs.add("b2", "b", 10_000, due)
	counts := f.counts(100)
	assert.Assert(t, counts["a"] >= 49, "%v", counts)
}

func TestJobAtRiskGainsShare(t *testing.T) {
	f := newFixture()
	f.jobs.add("tight", "a", 1000, epoch.Add(1200*time.Millisecond))
	f.jobs.add("easy", "b", 10_000, epoch.Add(24*time.Hour))
	f.counts(100)
	counts := f.counts(500)
	assert.Equal(t, counts["tight"], 400)
	assert.Equal(t, counts["easy"], 100)
}

func TestTailSpreadsOverTargets(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 100, epoch)
	for i := range 9 {
		assert.Equal(t, len(f.pull(fmt.Sprintf("t%d", i%4), 8, false).Items), 8)
	}
	// 28 items are left for 4 targets, and each pull takes at most its part.
	var got []int
	for i := range 5 {
		got = append(got, len(f.pull(fmt.Sprintf("t%d", i%4), 8, false).Items))
	}
	assert.DeepEqual(t, got, []int{7, 6, 4, 3, 2})
}

func TestLapsedLeaseIsHandedOutAgain(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 1, epoch)
	first := f.pull("t", 1, false).Items[0]
	f.now = f.now.Add(LeaseTime)
	assert.Assert(t, f.Renew(f.now, "j", 0, first.Lease))
	f.now = f.now.Add(LeaseTime)
	assert.Equal(t, len(f.pull("t", 1, false).Items), 0)
	f.now = f.now.Add(time.Second)
	second := f.pull("t", 1, false).Items[0]
	assert.Assert(t, second.Lease != first.Lease)
	assert.Assert(t, !f.Renew(f.now, "j", 0, first.Lease))
	assert.Assert(t, !f.Fail("j", 0, first.Lease, nil))
}

// TestNeighboursOfCrashingItemSurvive runs items on one target that crashes
// whenever it runs item 3.
func TestNeighboursOfCrashingItemSurvive(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 12, epoch)
	failed := map[int]bool{}
	crashes := 0
	for range 100 {
		refs := f.pull("t", 4, true).Items
		crash := false
		for _, r := range refs {
			crash = crash || r.Index == 3
		}
		if crash {
			crashes++
		}
		for _, r := range refs {
			if crash && f.Fail(r.Job, r.Index, r.Lease, nil) {
				failed[r.Index] = true
				f.finish(r)
			} else if !crash {
				f.finish(r)
			}
		}
	}
	assert.Equal(t, len(f.jobs.done), 12)
	assert.DeepEqual(t, failed, map[int]bool{3: true})
	assert.Equal(t, crashes, MaxAttempts)
}

func TestSuspectGetsTargetDrained(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 1000, epoch)
	r := f.pull("t", 1, false).Items[0]
	f.Fail(r.Job, r.Index, r.Lease, []string{"half"})
	assert.Equal(t, len(f.pull("t", 1, false).Items), 1)
	f.now = f.now.Add(drainDelay)
	assert.Assert(t, f.pull("t", 1, false).Drain)
	assert.Assert(t, !f.pull("u", 1, false).Drain, "one target is enough")
	h := f.pull("t", 4, true)
	assert.Equal(t, len(h.Items), 1)
	assert.Assert(t, h.Items[0].Alone)
	assert.Equal(t, h.Items[0].Index, r.Index)
	assert.DeepEqual(t, h.Items[0].Resume, []string{"half"})
}

func TestLeaseOfFailedItemLastsUntilItsResult(t *testing.T) {
	f := newFixture()
	f.jobs.add("j", "w", 1, epoch)
	var last LeasedItem
	for range MaxAttempts {
		last = f.pull("t", 1, true).Items[0]
		f.Fail(last.Job, 0, last.Lease, nil)
	}
	assert.Equal(t, len(f.pull("t", 1, true).Items), 0)
	assert.Assert(t, f.Fail(last.Job, 0, last.Lease, nil), "a resent failure must give the same verdict")
}

func TestOwnershipMoves(t *testing.T) {
	f := newFixture()
	members := []string{"a"}
	f.params.Members = func() []string { return members }
	for i := range 50 {
		f.jobs.add(fmt.Sprintf("j%d", i), "w", 1, epoch)
	}
	assert.Equal(t, len(f.pull("t", 20, false).Items), 20)
	members = []string{"a", "b"}
	for _, r := range f.pull("t", 50, false).Items {
		assert.Assert(t, f.owns(r.Job))
	}
	members = []string{"b"}
	assert.Equal(t, len(f.pull("t", 50, false).Items), 0)
}

// BenchmarkNext measures one pull of 8 items, one workspace to 10 jobs.
func BenchmarkNext(b *testing.B) {
	for _, jobs := range []int{100, 1000, 9600} {
		b.Run(strconv.Itoa(jobs), func(b *testing.B) {
			f := newFixture()
			for i := range jobs {
				f.jobs.running = append(f.jobs.running, state.RunningJob{
					Job: fmt.Sprintf("j%d", i), Workspace: fmt.Sprintf("w%d", i/10), Service: "drafting", Items: 1 << 40,
					DueUnixMillis: epoch.Add(time.Hour).UnixMilli(), AcceptedAt: protocol.Position(i),
				})
			}
			f.pull("t", 8, false)
			b.ResetTimer()
			for range b.N {
				f.now = f.now.Add(time.Millisecond)
				for _, r := range f.pull("t", 8, false).Items {
					f.Finish(f.now, r.Job, r.Index)
				}
			}
		})
	}
}
