// Package latency detects slow targets. It estimates each target's time between two
// tokens from the answers that an entry sees, and ejects targets that are much
// slower than their peers. The time between tokens does not depend on a request's
// size. After an ejection, a target's share of the work rises gradually.
package latency

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Params configure an Estimator.
type Params struct {
	// SmoothingFactor is the weight of the newest sample.
	SmoothingFactor float64
	// MinSamples is the number of samples before a target may be ejected.
	MinSamples int
	// EjectionFactor is the multiple of the median from which on a target is
	// ejected.
	EjectionFactor float64
	// BaseEjectionTime is the length of a first ejection. It doubles with each
	// further one, up to MaxEjectionTime.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// RampTime is how long a target's share takes to rise to one after an ejection.
	RampTime time.Duration
	// MaxEjectedShare is the largest share of the targets of a group that may be
	// ejected at the same time.
	MaxEjectedShare float64
}

// DefaultParams returns the parameters that entries use.
func DefaultParams() Params {
	return Params{
		SmoothingFactor:  0.2,
		MinSamples:       8,
		EjectionFactor:   3,
		BaseEjectionTime: 2 * time.Second,
		MaxEjectionTime:  30 * time.Second,
		RampTime:         5 * time.Second,
		MaxEjectedShare:  0.5,
	}
}

// Estimator holds the estimates of one entry. It is safe for concurrent use; Share
// reads an immutable snapshot without locking.
type Estimator struct {
	params Params

	mu        sync.Mutex
	targets   map[string]*estimate
	ejections atomic.Pointer[map[string]ejection]
	// median is the median time between tokens, in nanoseconds.
	median atomic.Int64
}

// estimate is the state of one target.
type estimate struct {
	group string
	// step is the moving average of the time between two tokens, in nanoseconds.
	step    float64
	samples int
	// doublings is how often the length of the next ejection is doubled.
	doublings int
	ejection  ejection
}

// ejection is a period in which a target gets no work, and the ramp after it, in
// which the target gets less than its ordinary share.
type ejection struct {
	until time.Time
	ramp  time.Duration
}

// New returns an estimator without samples.
func New(p Params) *Estimator {
	e := &Estimator{params: p, targets: map[string]*estimate{}}
	e.ejections.Store(&map[string]ejection{})
	return e
}

// Observe adds one sample of a target's time between two tokens. Targets are only
// compared with others of the same group, such as a service.
func (e *Estimator) Observe(group, target string, step time.Duration, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.targets[target]
	if t == nil {
		t = &estimate{group: group, step: float64(step)}
		e.targets[target] = t
	}
	t.step += e.params.SmoothingFactor * (float64(step) - t.step)
	t.samples++
	e.evaluate(target, t, now)
}

// ObserveStall adds a sample for a target that had delivered nothing for silent when
// an attempt on another target overtook it. Its time between tokens is unknown, but
// must be long, so the sample is at least twice the ejection threshold.
func (e *Estimator) ObserveStall(group, target string, silent time.Duration, now time.Time) {
	e.mu.Lock()
	least := 2 * e.params.EjectionFactor * e.groupMedian(group)
	e.mu.Unlock()
	e.Observe(group, target, max(silent, time.Duration(least)), now)
}

// evaluate ejects the target if it is much slower than its peers. mu must be held.
func (e *Estimator) evaluate(name string, t *estimate, now time.Time) {
	if t.samples < e.params.MinSamples || now.Before(t.ejection.until) {
		return
	}
	median := e.groupMedian(t.group)
	e.median.Store(int64(median))
	if median == 0 || t.step < e.params.EjectionFactor*median {
		if now.After(t.ejection.until.Add(e.params.RampTime)) {
			t.doublings = 0
		}
		return
	}
	if !e.canEject(t.group, now) {
		return
	}
	length := min(e.params.BaseEjectionTime<<t.doublings, e.params.MaxEjectionTime)
	if length < e.params.MaxEjectionTime {
		t.doublings++
	}
	t.ejection = ejection{until: now.Add(length), ramp: e.params.RampTime}
	// After its return, the target is evaluated by new samples only.
	t.samples, t.step = 0, median
	next := maps.Clone(*e.ejections.Load())
	next[name] = t.ejection
	e.ejections.Store(&next)
}

// groupMedian returns the median estimate of a group, or zero if it has no samples.
// mu must be held.
func (e *Estimator) groupMedian(group string) float64 {
	var steps []float64
	for _, t := range e.targets {
		if t.group == group && t.samples > 0 {
			steps = append(steps, t.step)
		}
	}
	if len(steps) == 0 {
		return 0
	}
	slices.Sort(steps)
	return steps[len(steps)/2]
}

// canEject reports whether another target of the group may be ejected, so that the
// whole group never is. mu must be held.
func (e *Estimator) canEject(group string, now time.Time) bool {
	all, ejected := 0, 1
	for _, t := range e.targets {
		if t.group != group {
			continue
		}
		all++
		if now.Before(t.ejection.until) {
			ejected++
		}
	}
	return float64(ejected) <= e.params.MaxEjectedShare*float64(all)
}

// Share returns the part of its ordinary work that a target should get now: zero
// while it is ejected, then a part that rises to one, and otherwise one.
func (e *Estimator) Share(target string, now time.Time) float64 {
	ej, found := (*e.ejections.Load())[target]
	if !found {
		return 1
	}
	since := now.Sub(ej.until)
	switch {
	case since < 0:
		return 0
	case since >= ej.ramp:
		return 1
	default:
		return float64(since) / float64(ej.ramp)
	}
}

// MedianStep returns the median time between two tokens in the group last
// evaluated, or zero if there is none.
func (e *Estimator) MedianStep() time.Duration { return time.Duration(e.median.Load()) }

// Prune drops the targets for which keep reports false.
func (e *Estimator) Prune(keep func(target string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.targets, func(name string, _ *estimate) bool { return !keep(name) })
	next := maps.Clone(*e.ejections.Load())
	maps.DeleteFunc(next, func(name string, _ ejection) bool { return !keep(name) })
	e.ejections.Store(&next)
}
