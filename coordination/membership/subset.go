package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerSidecar is the number of entries that watch each sidecar. The cost for
// one entry then grows with the ratio of sidecars to entries, not with the size of
// the fleet.
const WatchersPerSidecar = 4

// MinTargets is the minimum number of targets of each service that an entry
// watches, if the service has that many.
const MinTargets = 8

// WatchedSidecars returns the sidecars that the entry self watches: those for which
// self ranks among the first watchersPerSidecar entries by rendezvous hashing. Every
// sidecar is watched by exactly watchersPerSidecar entries, or by all if there are
// fewer, and a change of membership moves only the sidecars of the entries that
// joined or left.
func WatchedSidecars(self string, entries, sidecars []string, watchersPerSidecar int) map[string]bool {
	watched := make(map[string]bool, 1+len(sidecars)*watchersPerSidecar/max(1, len(entries)))
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
			if ahead == watchersPerSidecar {
				break
			}
		}
		if ahead < watchersPerSidecar {
			watched[s] = true
		}
	}
	return watched
}

// pairScore mixes the hashes of an entry and a sidecar into the rendezvous score of
// the pair.
func pairScore(entry, sidecar uint64) uint64 {
	x := entry ^ sidecar
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// EnsureMinimum adds to the watched sidecars until at least minimum sidecars of each
// service are watched, or all of them if there are fewer. Which ones are added
// depends on self, so that entries do not all watch the same sidecars.
func EnsureMinimum(self string, watched map[string]bool, sidecarsByService map[string][]string, minimum int) {
	selfHash := xxhash.Sum64String(self)
	for _, sidecars := range sidecarsByService {
		missing := minimum
		var rest []string
		for _, s := range sidecars {
			if watched[s] {
				missing--
			} else {
				rest = append(rest, s)
			}
		}
		if missing <= 0 {
			continue
		}
		slices.SortFunc(rest, func(a, b string) int {
			return cmp.Compare(pairScore(selfHash, xxhash.Sum64String(b)), pairScore(selfHash, xxhash.Sum64String(a)))
		})
		for _, s := range rest[:min(missing, len(rest))] {
			watched[s] = true
		}
	}
}
