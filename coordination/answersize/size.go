// Package answersize predicts how many tokens an answer will have, from what earlier
// answers of the same service with a like bound had, and tells long work from
// short.
package answersize

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"sync"
)

// Params are the properties of a predictor.
type Params struct {
	// Gain is the weight of the newest sample.
	Gain float64
	// LongFactor is how many times more tokens than the service's median long work
	// has.
	LongFactor float64
	// MinSamples is the number of a service's answers before any work counts as
	// long.
	MinSamples int
}

// DefaultParams returns the parameters of a sidecar.
func DefaultParams() Params { return Params{Gain: 0.05, LongFactor: 4, MinSamples: 20} }

// Predictor learns the sizes of answers. Its methods may be called at the same time.
type Predictor struct {
	params Params

	mu       sync.Mutex
	services map[string]*serviceHistory
}

// serviceHistory is what is known of one service.
type serviceHistory struct {
	mean    float64
	samples int
	// buckets holds the sizes of answers by the magnitude of their bound.
	buckets map[int]*bucket
}

type bucket struct {
	mean    float64
	samples int
}

// New returns a predictor without samples.
func New(p Params) *Predictor { return &Predictor{params: p, services: map[string]*serviceHistory{}} }

// bucketIndex groups bounds by their magnitude.
func bucketIndex(maxTokens int) int { return bits.Len(uint(max(0, maxTokens))) }

// Observe takes the size of a whole answer to a request with the given bound,
// zero where it had none.
func (p *Predictor) Observe(service string, maxTokens, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.services[service]
	if h == nil {
		h = &serviceHistory{mean: float64(tokens), buckets: map[int]*bucket{}}
		p.services[service] = h
	}
	h.samples++
	h.mean += p.params.Gain * (float64(tokens) - h.mean)
	b := h.buckets[bucketIndex(maxTokens)]
	if b == nil {
		b = &bucket{mean: float64(tokens)}
		h.buckets[bucketIndex(maxTokens)] = b
	}
	b.samples++
	b.mean += p.params.Gain * (float64(tokens) - b.mean)
}

// Predict returns the expected size of an answer, never above the bound where
// there is one, and zero where nothing is known.
func (p *Predictor) Predict(service string, maxTokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.predict(p.services[service], maxTokens)
}

func (p *Predictor) predict(h *serviceHistory, maxTokens int) float64 {
	predicted := float64(maxTokens)
	if h != nil {
		predicted = h.mean
		if b := h.buckets[bucketIndex(maxTokens)]; b != nil {
			predicted = b.mean
		} else if maxTokens > 0 {
			predicted = float64(maxTokens)
		}
	}
	if maxTokens > 0 {
		predicted = min(predicted, float64(maxTokens))
	}
	return predicted
}

// IsLong reports whether a request is expected to be much longer than the
// service's others.
func (p *Predictor) IsLong(service string, maxTokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.services[service]
	if h == nil || h.samples < p.params.MinSamples {
		return false
	}
	return p.predict(h, maxTokens) > p.params.LongFactor*h.medianSize()
}

// medianSize returns the median size, by buckets, so that neither the long answers
// nor a few tiny ones move the mark.
func (h *serviceHistory) medianSize() float64 {
	all := slices.SortedFunc(maps.Values(h.buckets), func(a, b *bucket) int { return cmp.Compare(a.mean, b.mean) })
	seen := 0
	for _, b := range all {
		seen += b.samples
		if 2*seen >= h.samples {
			return max(1, b.mean)
		}
	}
	return max(1, h.mean)
}
