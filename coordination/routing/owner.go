package routing

import "github.com/cespare/xxhash/v2"

// Owner returns the member that owns key, by rendezvous hashing: a change of the
// members moves only the keys of the members that were added or removed. It returns
// an empty string if there are no members.
func Owner(key string, members []string) string {
	best, highest := "", uint64(0)
	for _, m := range members {
		if score := xxhash.Sum64String(m + "\x00" + key); best == "" || score > highest {
			best, highest = m, score
		}
	}
	return best
}
