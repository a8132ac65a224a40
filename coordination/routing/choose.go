package routing

import "sync/atomic"

// Random is a source of random numbers.
type Random interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Chooser chooses a target among at least one candidate. It is safe for concurrent
// use.
type Chooser interface {
	// Choose chooses for a request with the given affinity key, zero if it has none.
	Choose(candidates []*Target, key uint64) *Target
}

// RandomChoices chooses the least loaded of a number of random candidates.
type RandomChoices struct {
	// Count is the number of candidates to compare. All are compared if there are no
	// more than Count.
	Count  int
	Random Random
}

// Choose implements Chooser.
func (c RandomChoices) Choose(candidates []*Target, _ uint64) *Target {
	count := min(c.Count, len(candidates))
	all := count == len(candidates)
	at := c.Random.IntN(len(candidates))
	best := candidates[at]
	for range count - 1 {
		at = (at + 1) % len(candidates)
		if !all {
			at = c.Random.IntN(len(candidates))
		}
		if other := candidates[at]; other.load() < best.load() {
			best = other
		}
	}
	return best
}

// RoundRobin chooses the candidates in turn.
type RoundRobin struct {
	turn atomic.Uint64
}

// Choose implements Chooser.
func (c *RoundRobin) Choose(candidates []*Target, _ uint64) *Target {
	return candidates[c.turn.Add(1)%uint64(len(candidates))]
}

// LeastInFlight chooses the candidate with the fewest attempts of this entry in
// flight, with ties broken at random.
type LeastInFlight struct {
	Random Random
}

// Choose implements Chooser.
func (c LeastInFlight) Choose(candidates []*Target, _ uint64) *Target {
	start := c.Random.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		other := candidates[(start+i)%len(candidates)]
		if other.InFlight.Load() < best.InFlight.Load() {
			best = other
		}
	}
	return best
}
