package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

func names(prefix string, n int) []string {
	all := make([]string, 0, n)
	for i := range n {
		all = append(all, fmt.Sprintf("%s-%d", prefix, i))
	}
	return all
}

// TestEverySidecarIsCovered counts, at the size of the aim, by how many entries
// each sidecar is watched and how many an entry watches.
func TestEverySidecarIsCovered(t *testing.T) {
	tests := []struct{ entries, sidecars int }{{1, 24}, {2, 24}, {3, 16}, {20, 300}, {275, 1425}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			entries, sidecars := names("entry", test.entries), names("sidecar", test.sidecars)
			watchers := map[string]int{}
			mean := float64(WatchersPerSidecar*test.sidecars) / float64(test.entries)
			for _, self := range entries {
				covered := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar)
				assert.Assert(t, float64(len(covered)) < 2*mean+8, "%s watches %d, the mean is %v", self, len(covered), mean)
				for s := range covered {
					watchers[s]++
				}
			}
			for _, s := range sidecars {
				assert.Equal(t, watchers[s], min(WatchersPerSidecar, test.entries), s)
			}
		})
	}
}

// TestLostEntryMovesOnlyItsSidecars removes an entry: the others keep what they
// watch, and take over what it watched.
func TestLostEntryMovesOnlyItsSidecars(t *testing.T) {
	entries, sidecars := names("entry", 20), names("sidecar", 300)
	lost := entries[7]
	gone := WatchedSidecars(lost, entries, sidecars, WatchersPerSidecar)
	var rest []string
	rest = append(rest, entries[:7]...)
	rest = append(rest, entries[8:]...)
	taken := 0
	for _, self := range rest {
		before, after := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar), WatchedSidecars(self, rest, sidecars, WatchersPerSidecar)
		for s := range before {
			assert.Assert(t, after[s])
		}
		for s := range after {
			if !before[s] {
				assert.Assert(t, gone[s])
				taken++
			}
		}
	}
	assert.Equal(t, taken, len(gone))
}

// TestSmallServiceIsWatchedByEveryEntry adds the few targets of a small service.
func TestSmallServiceIsWatchedByEveryEntry(t *testing.T) {
	entries, sidecars := names("entry", 100), names("sidecar", 400)
	groups := map[string][]string{"small": sidecars[:4], "large": sidecars[4:]}
	for _, self := range entries {
		covered := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar)
		EnsureMinimum(self, covered, groups, MinTargets)
		for service, members := range groups {
			watched := 0
			for _, m := range members {
				if covered[m] {
					watched++
				}
			}
			assert.Assert(t, watched >= min(MinTargets, len(members)), "%s watches %d of %s", self, watched, service)
		}
	}
}

func BenchmarkCovered(b *testing.B) {
	entries, sidecars := names("entry", 275), names("sidecar", 1425)
	for b.Loop() {
		WatchedSidecars(entries[0], entries, sidecars, WatchersPerSidecar)
	}
}
