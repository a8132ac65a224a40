// Package latency estimates how slow each target is from the answers that an
// entry sees, and ejects targets that are much slower than their peers. The
// estimate is of the time between two tokens, which does not depend on a
// request's size. An ejected target comes back slowly.
package latency

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Params are the properties of an estimator.
type Params struct {
	// SmoothingFactor is the weight of the newest sample.
	SmoothingFactor float64
	// MinSamples is the number of samples before a target may be ejected.
	MinSamples int
	// EjectionFactor is how many times slower than the median an ejected target is.
	EjectionFactor float64
	// BaseEjectionTime is the length of a first ejection; each further one doubles it
	// up to MaxEjection.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// RampTime is how long a target takes back to its full share.
	RampTime time.Duration
	// MaxEjectedShare is the part of the targets that may be ejected at once.
	MaxEjectedShare float64
}

// DefaultParams returns the parameters of an entry.
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

// Estimator holds the estimates of one entry. Its methods may be called at the
// same time; Share reads an immutable snapshot.
type Estimator struct {
	params Params

	mu        sync.Mutex
	targets   map[string]*estimate
	ejections atomic.Pointer[map[string]ejection]
	// median is the median step time, in nanoseconds.
	median atomic.Int64
}

type estimate struct {
	group     string
	step      float64
	samples   int
	doublings int
	ejection  ejection
}

// ejection is the time during which a target gets no work, and the time after it
// during which it gets less than its share.
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

// Observe takes one sample of a target's time between two tokens. Only targets
// of the same group, such as a service, are compared.
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

// ObserveStall takes the sample of a target that another one overtook after it had
// delivered nothing for silent. How slow it was is not known, only that it was
// much slower, so it counts as twice the factor at least.
func (e *Estimator) ObserveStall(group, target string, silent time.Duration, now time.Time) {
	e.mu.Lock()
	least := 2 * e.params.EjectionFactor * e.groupMedian(group)
	e.mu.Unlock()
	e.Observe(group, target, max(silent, time.Duration(least)), now)
}

// evaluate ejects the target where it is much slower than its peers.
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
	// The target is judged anew from the samples after its return.
	t.samples, t.step = 0, median
	next := maps.Clone(*e.ejections.Load())
	next[name] = t.ejection
	e.ejections.Store(&next)
}

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

// canEject keeps the ejected part of a group below its bound, so that the whole
// group is never ejected.
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
// while it is ejected, then rising to one.
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

// MedianStep returns the median time between two tokens over the targets last judged,
// zero where nothing is known.
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
