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

// TwoChoices picks the less loaded of two random candidates.
type TwoChoices struct {
	Random Random
}

// Choose implements Chooser.
func (c TwoChoices) Choose(candidates []*Target, _ uint64) *Target {
	a := candidates[c.Random.IntN(len(candidates))]
	b := candidates[c.Random.IntN(len(candidates))]
	if b.load() < a.load() {
		return b
	}
	return a
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
