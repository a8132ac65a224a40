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

// TestEverySidecarIsWatched counts how many entries watch each sidecar, and how many
// sidecars an entry watches, up to the size that the system is designed for: 275
// entries and 1425 sidecars.
func TestEverySidecarIsWatched(t *testing.T) {
	tests := []struct{ entries, sidecars int }{{1, 24}, {2, 24}, {3, 16}, {20, 300}, {275, 1425}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			entries, sidecars := names("entry", test.entries), names("sidecar", test.sidecars)
			watchers := map[string]int{}
			mean := float64(WatchersPerSidecar*test.sidecars) / float64(test.entries)
			for _, self := range entries {
				watched := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar)
				assert.Assert(t, float64(len(watched)) < 2*mean+8, "%s watches %d, the mean is %v", self, len(watched), mean)
				for s := range watched {
					watchers[s]++
				}
			}
			for _, s := range sidecars {
				assert.Equal(t, watchers[s], min(WatchersPerSidecar, test.entries), s)
			}
		})
	}
}

// TestLostEntryMovesOnlyItsSidecars removes an entry: the others keep the sidecars
// that they watch and take over those of the removed entry.
func TestLostEntryMovesOnlyItsSidecars(t *testing.T) {
	entries, sidecars := names("entry", 20), names("sidecar", 300)
	lost := entries[7]
	orphaned := WatchedSidecars(lost, entries, sidecars, WatchersPerSidecar)
	var rest []string
	rest = append(rest, entries[:7]...)
	rest = append(rest, entries[8:]...)
	takenOver := 0
	for _, self := range rest {
		before, after := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar), WatchedSidecars(self, rest, sidecars, WatchersPerSidecar)
		for s := range before {
			assert.Assert(t, after[s])
		}
		for s := range after {
			if !before[s] {
				assert.Assert(t, orphaned[s])
				takenOver++
			}
		}
	}
	assert.Equal(t, takenOver, len(orphaned))
}

// TestSmallServiceIsWatchedByEveryEntry checks that every entry watches MinTargets
// targets of each service, or all targets of a smaller service.
func TestSmallServiceIsWatchedByEveryEntry(t *testing.T) {
	entries, sidecars := names("entry", 100), names("sidecar", 400)
	byService := map[string][]string{"small": sidecars[:4], "large": sidecars[4:]}
	for _, self := range entries {
		watched := WatchedSidecars(self, entries, sidecars, WatchersPerSidecar)
		EnsureMinimum(self, watched, byService, MinTargets)
		for service, members := range byService {
			count := 0
			for _, s := range members {
				if watched[s] {
					count++
				}
			}
			assert.Assert(t, count >= min(MinTargets, len(members)), "%s watches %d of %s", self, count, service)
		}
	}
}

func BenchmarkWatchedSidecars(b *testing.B) {
	entries, sidecars := names("entry", 275), names("sidecar", 1425)
	for b.Loop() {
		WatchedSidecars(entries[0], entries, sidecars, WatchersPerSidecar)
	}
}
