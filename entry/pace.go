package entry

import (
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/hedge"
)

// pace knows how long a service's first token and its later ones take.
type pace struct {
	first *hedge.DelayEstimator
	next  *hedge.DelayEstimator
}

func newPace() *pace {
	return &pace{first: hedge.New(hedge.DefaultParams()), next: hedge.New(hedge.DefaultParams())}
}

func (p *pace) timer(first bool) *hedge.DelayEstimator {
	if first {
		return p.first
	}
	return p.next
}

// wait returns how long the next token may take before the attempt is hedged.
func (p *pace) wait(first bool) (time.Duration, bool) { return p.timer(first).Delay() }

// observe takes a sample. A token that came after a hedge counts with the wait.
func (p *pace) observe(first bool, took time.Duration) {
	timer := p.timer(first)
	if wait, known := timer.Delay(); known {
		took = min(took, wait)
	}
	timer.Observe(took)
}

// stepTokens is the number of tokens in one sample of a target's pace.
const stepTokens = 8

// stepSample averages a target's time between tokens over a few of them.
type stepSample struct {
	target string
	tokens int
	total  time.Duration
}

// add takes one token. It reports the mean time of a step once enough tokens
// came from the same target.
func (s *stepSample) add(target string, first bool, took time.Duration) (time.Duration, bool) {
	if first || target != s.target {
		*s = stepSample{target: target}
	}
	if first {
		return 0, false
	}
	s.tokens++
	s.total += took
	if s.tokens < stepTokens {
		return 0, false
	}
	mean := s.total / time.Duration(s.tokens)
	*s = stepSample{target: target}
	return mean, true
}
