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
	// Gain is the weight of the newest sample.
	Gain float64
	// Deviations is the number of mean deviations above the mean to wait.
	Deviations float64
	// Multiple is the smallest wait as a multiple of the mean. An answer has many
	// tokens, so a wait that one pause in a hundred exceeds hedges most answers.
	Multiple float64
	// Min and Max bound the wait.
	Min time.Duration
	Max time.Duration
	// MinSamples is the number of samples before a wait is given at all.
	MinSamples int
}

// DefaultParams returns the parameters of an entry.
func DefaultParams() Params {
	return Params{Gain: 0.1, Deviations: 6, Multiple: 3, Min: 30 * time.Millisecond, Max: 2 * time.Second, MinSamples: 20}
}

// Timer estimates one duration of a service: the mean, and the mean deviation
// from it. Its methods may be called at the same time.
type Timer struct {
	params Params

	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// New returns a timer without samples.
func New(p Params) *Timer { return &Timer{params: p} }

// Observe takes one sample. A request that was hedged counts with the wait after
// which it was: its whole time would teach the timer that stalls are usual, and
// leaving it out would make the wait ever shorter.
func (t *Timer) Observe(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := float64(d)
	if t.samples == 0 {
		t.mean, t.deviation = x, x/2
	}
	t.samples++
	diff := x - t.mean
	t.mean += t.params.Gain * diff
	t.deviation += t.params.Gain * (max(diff, -diff) - t.deviation)
}

// Wait returns how long to wait before a second attempt. It reports false while
// too little is known.
func (t *Timer) Wait() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.samples < t.params.MinSamples {
		return 0, false
	}
	wait := max(t.mean+t.params.Deviations*t.deviation, t.params.Multiple*t.mean)
	return min(max(time.Duration(wait), t.params.Min), t.params.Max), true
}
