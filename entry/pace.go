package entry

import (
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/hedge"
)

// stallDelays knows how long a service's first token and its later ones take.
type stallDelays struct {
	first *hedge.DelayEstimator
	next  *hedge.DelayEstimator
}

func newStallDelays() *stallDelays {
	return &stallDelays{first: hedge.New(hedge.DefaultParams()), next: hedge.New(hedge.DefaultParams())}
}

func (p *stallDelays) estimator(first bool) *hedge.DelayEstimator {
	if first {
		return p.first
	}
	return p.next
}

// delay returns how long the next token may take before the attempt is hedged.
func (p *stallDelays) delay(first bool) (time.Duration, bool) { return p.estimator(first).Delay() }

// observe takes a sample. A token that came after a hedge counts with the wait.
func (p *stallDelays) observe(first bool, took time.Duration) {
	timer := p.estimator(first)
	if wait, known := timer.Delay(); known {
		took = min(took, wait)
	}
	timer.Observe(took)
}

// sampleTokens is the number of tokens in one sample of a target's pace.
const sampleTokens = 8

// intervalSample averages a target's time between tokens over a few of them.
type intervalSample struct {
	target string
	tokens int
	total  time.Duration
}

// add takes one token. It reports the mean time of a step once enough tokens
// came from the same target.
func (s *intervalSample) add(target string, first bool, took time.Duration) (time.Duration, bool) {
	if first || target != s.target {
		*s = intervalSample{target: target}
	}
	if first {
		return 0, false
	}
	s.tokens++
	s.total += took
	if s.tokens < sampleTokens {
		return 0, false
	}
	mean := s.total / time.Duration(s.tokens)
	*s = intervalSample{target: target}
	return mean, true
}
