package batch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

func entryNames(n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("entry-%03d", i))
	}
	return all
}

// TestWaitsAreBounded counts the waits of each target and at each entry.
func TestWaitsAreBounded(t *testing.T) {
	for _, n := range []int{1, 2, MaxPollEntries, 20, 275} {
		live, atEntry := entryNames(n), map[string]int{}
		for target := range 5700 {
			waits := PollEntries(fmt.Sprintf("target-%d", target), live)
			assert.Equal(t, len(waits), min(n, MaxPollEntries))
			for _, w := range waits {
				atEntry[w]++
			}
		}
		mean := 5700 * min(n, MaxPollEntries) / n
		for name, count := range atEntry {
			assert.Assert(t, count <= 2*mean, "%d waits at %s, the mean is %d", count, name, mean)
		}
		t.Logf("%d entries: about %d waits held by each", n, mean)
	}
}

// TestOthersOwnJobs: any entry can name the owners of the jobs that a target
// runs, also after the members changed.
func TestOthersOwnJobs(t *testing.T) {
	var owners OwnerCache
	var running []state.RunningJob
	for i := range 300 {
		running = append(running, state.RunningJob{
			Job: fmt.Sprintf("job-%d", i), Service: fmt.Sprintf("s%d", i%2), AcceptedAt: protocol.PositionAt(uint64(i+1), 0),
		})
	}
	only := func(service string) bool { return service == "s1" }
	for _, n := range []int{20, 19, 7} {
		members := entryNames(n)
		want := map[string]bool{}
		for _, j := range running[200:] {
			if owner := routing.Owner(j.Job, members); j.Service == "s1" && owner != members[0] {
				want[owner] = true
			}
		}
		got := owners.OtherOwners(members[0], members, running, running[200].AcceptedAt, only)
		assert.Equal(t, len(got), len(want))
		for _, name := range got {
			assert.Assert(t, want[name], "%s owns none", name)
		}
	}
	assert.Equal(t, len(owners.OtherOwners("entry-000", entryNames(7), running, protocol.PositionAt(1000, 0), only)), 0)
}
