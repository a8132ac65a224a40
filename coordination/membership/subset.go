package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerSidecar is the number of entries that watch each sidecar. The work of one
// entry then grows with the sidecars for each entry, and not with the fleet.
const WatchersPerSidecar = 4

// MinTargets is the number of targets of a service that an entry watches at
// least, where the service has so many.
const MinTargets = 8

// WatchedSidecars returns the sidecars that the entry self watches: those for which it
// is among the first coverage entries in rendezvous order. Every sidecar is
// watched by exactly coverage entries, or by all where there are fewer, and a
// change of the members moves only the sidecars of those that came or went.
func WatchedSidecars(self string, entries, sidecars []string, coverage int) map[string]bool {
	covered := make(map[string]bool, 1+len(sidecars)*coverage/max(1, len(entries)))
	selfHash := xxhash.Sum64String(self)
	hashes := make([]uint64, 0, len(entries))
	for _, e := range entries {
		hashes = append(hashes, xxhash.Sum64String(e))
	}
	for _, s := range sidecars {
		sidecarHash := xxhash.Sum64String(s)
		own := pairScore(selfHash, sidecarHash)
		ahead := 0
		for _, h := range hashes {
			if h != selfHash && pairScore(h, sidecarHash) > own {
				ahead++
			}
			if ahead == coverage {
				break
			}
		}
		if ahead < coverage {
			covered[s] = true
		}
	}
	return covered
}

// pairScore mixes two hashes into the rendezvous score of their pair.
func pairScore(entry, sidecar uint64) uint64 {
	x := entry ^ sidecar
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// EnsureMinimum adds to the covered sidecars until every group has minimum members
// watched, or all it has: the groups are the sidecars of one service each. Which
// ones are added depends on self, so that entries do not all watch the same.
func EnsureMinimum(self string, covered map[string]bool, groups map[string][]string, minimum int) {
	selfHash := xxhash.Sum64String(self)
	for _, members := range groups {
		missing := minimum
		var rest []string
		for _, m := range members {
			if covered[m] {
				missing--
			} else {
				rest = append(rest, m)
			}
		}
		if missing <= 0 {
			continue
		}
		slices.SortFunc(rest, func(a, b string) int {
			return cmp.Compare(pairScore(selfHash, xxhash.Sum64String(b)), pairScore(selfHash, xxhash.Sum64String(a)))
		})
		for _, m := range rest[:min(missing, len(rest))] {
			covered[m] = true
		}
	}
}
