// Package hedge decides when to hedge an idempotent request, that is, to send it to
// a second target while the first delivers no tokens. It estimates a service's time
// to the first token and time between tokens, and sets the hedging delay well
// above these. Package hedge decides; package hedging runs the two attempts, and package
// budget bounds their number.
package hedge

import (
	"sync"
	"time"
)

// Params configure a DelayEstimator.
type Params struct {
	// SmoothingFactor is the weight of the newest sample.
	SmoothingFactor float64
	// Deviations is the number of mean deviations by which the delay exceeds the
	// mean.
	Deviations float64
	// MinMultiple is the smallest delay as a multiple of the mean. An answer has
	// many tokens, so a delay that one token in a hundred exceeds would hedge most
	// answers.
	MinMultiple float64
	// MinDelay and MaxDelay bound the delay.
	MinDelay time.Duration
	MaxDelay time.Duration
	// MinSamples is the smallest number of samples with which a delay is known.
	MinSamples int
}

// DefaultParams returns the parameters that entries use.
func DefaultParams() Params {
	return Params{SmoothingFactor: 0.1, Deviations: 6, MinMultiple: 3, MinDelay: 30 * time.Millisecond, MaxDelay: 2 * time.Second, MinSamples: 20}
}

// DelayEstimator sets the hedging delay from the moving averages of one duration
// and of its deviation from the mean. It is safe for concurrent use.
type DelayEstimator struct {
	params Params

	mu        sync.Mutex
	mean      float64
	deviation float64
	samples   int
}

// New returns an estimator without samples.
func New(p Params) *DelayEstimator { return &DelayEstimator{params: p} }

// Observe adds one sample. For a hedged request, the caller passes the delay after
// which it was hedged: its full duration would let stalls raise the delay, and
// leaving it out would shorten the delay further and further.
func (e *DelayEstimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := float64(d)
	if e.samples == 0 {
		e.mean, e.deviation = x, x/2
	}
	e.samples++
	diff := x - e.mean
	e.mean += e.params.SmoothingFactor * diff
	e.deviation += e.params.SmoothingFactor * (max(diff, -diff) - e.deviation)
}

// Delay returns how long to wait before a second attempt. It reports false while
// there are too few samples.
func (e *DelayEstimator) Delay() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.samples < e.params.MinSamples {
		return 0, false
	}
	delay := max(e.mean+e.params.Deviations*e.deviation, e.params.MinMultiple*e.mean)
	return min(max(time.Duration(delay), e.params.MinDelay), e.params.MaxDelay), true
}
