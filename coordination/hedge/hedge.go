// Package hedge decides when an idempotent request that gets no tokens is tried
// on a second target beside the first. It learns how long a service's first
// token and the pauses between tokens take, and waits for well more than that.
package hedge

import (
	"sync"
	"time"
)

// Params are the properties of a timer.
type Params struct {
	// SmoothingFactor is the weight of the newest sample.
	SmoothingFactor float64
	// Deviations is the number of mean deviations above the mean to wait.
	Deviations float64
	// MinMultiple is the smallest wait as a multiple of the mean. An answer has many
	// tokens, so a wait that one pause in a hundred exceeds hedges most answers.
	MinMultiple float64
	// MinDelay and Max bound the wait.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MinSamples is the number of samples before a wait is given at all.
	MinSamples int
}

// DefaultParams returns the parameters of an entry.
func DefaultParams() Params {
	return Params{SmoothingFactor: 0.1, Deviations: 6, MinMultiple: 3, MinDelay: 30 * time.Millisecond, MaxDelay: 2 * time.Second, MinSamples: 20}
}

// DelayEstimator estimates one duration of a service: the mean, and the mean deviation
// from it. Its methods may be called at the same time.
type DelayEstimator struct {
	params Params

	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// New returns a timer without samples.
func New(p Params) *DelayEstimator { return &DelayEstimator{params: p} }

// Observe takes one sample. A request that was hedged counts with the wait after
// which it was: its whole time would teach the timer that stalls are usual, and
// leaving it out would make the wait ever shorter.
func (t *DelayEstimator) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := float64(d)
	if t.samples == 0 {
		t.mean, t.deviation = x, x/2
	}
	t.samples++
	diff := x - t.mean
	t.mean += t.params.SmoothingFactor * diff
	t.deviation += t.params.SmoothingFactor * (max(diff, -diff) - t.deviation)
}

// Delay returns how long to wait before a second attempt. It reports false while
// too little is known.
func (t *DelayEstimator) Delay() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.samples < t.params.MinSamples {
		return 0, false
	}
	wait := max(t.mean+t.params.Deviations*t.deviation, t.params.MinMultiple*t.mean)
	return min(max(time.Duration(wait), t.params.MinDelay), t.params.MaxDelay), true
}
