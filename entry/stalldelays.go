package entry

import (
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/hedge"
)

// stallDelays estimates, for one service, how long an attempt may wait for its
// first token and for each later one before it is hedged.
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

// observe records how long a token took. The sample is capped at the present
// delay, at which the attempt is hedged.
func (p *stallDelays) observe(first bool, took time.Duration) {
	timer := p.estimator(first)
	if wait, known := timer.Delay(); known {
		took = min(took, wait)
	}
	timer.Observe(took)
}

// sampleTokens is the number of token intervals averaged into one latency sample
// of a target.
const sampleTokens = 8

// intervalSample averages the time between tokens of one target.
type intervalSample struct {
	target string
	tokens int
	total  time.Duration
}

// add records the interval before one token. It returns the mean interval once
// sampleTokens of them came from the same target.
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
