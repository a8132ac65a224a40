package routing

import "sync/atomic"

// Random is a source of random numbers.
type Random interface {
	// IntN returns a number from 0 to n-1.
	IntN(n int) int
}

// Chooser picks one of at least one candidate. It may be called at the same time.
type Chooser interface {
	// Choose takes the affinity key of the request, zero where it has none.
	Choose(candidates []*Target, key uint64) *Target
}

// RandomChoices picks the least loaded of some random candidates.
type RandomChoices struct {
	// Count is how many candidates are looked at; more than there are stands for
	// all of them.
	Count  int
	Random Random
}

// Choose implements Chooser.
func (c RandomChoices) Choose(candidates []*Target, _ uint64) *Target {
	number := min(c.Count, len(candidates))
	all := number == len(candidates)
	at := c.Random.IntN(len(candidates))
	best := candidates[at]
	for range number - 1 {
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

// RoundRobin picks the candidates by turns.
type RoundRobin struct {
	turn atomic.Uint64
}

// Choose implements Chooser.
func (c *RoundRobin) Choose(candidates []*Target, _ uint64) *Target {
	return candidates[c.turn.Add(1)%uint64(len(candidates))]
}

// LeastInFlight picks the candidate with the fewest attempts of this entry,
// and one of those at random.
type LeastInFlight struct {
	Random Random
}

// Choose implements Chooser.
func (c LeastInFlight) Choose(candidates []*Target, _ uint64) *Target {
	begin := c.Random.IntN(len(candidates))
	best := candidates[begin]
	for i := range candidates {
		other := candidates[(begin+i)%len(candidates)]
		if other.InFlight.Load() < best.InFlight.Load() {
			best = other
		}
	}
	return best
}
