// Package answersize predicts the number of tokens of an answer from earlier answers
// of the same service with a similar token limit, and tells long work from short.
package answersize

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"sync"
)

// Params are the parameters of a Predictor.
type Params struct {
	// Gain is the weight of the newest sample in a moving average.
	Gain float64
	// LongFactor is the multiple of the service's median size above which work is
	// long.
	LongFactor float64
	// MinSamples is the number of answers of a service that must have been observed
	// before any of its work counts as long.
	MinSamples int
}

// DefaultParams returns the parameters that a sidecar uses.
func DefaultParams() Params { return Params{Gain: 0.05, LongFactor: 4, MinSamples: 20} }

// Predictor predicts the sizes of answers. It is safe for concurrent use.
type Predictor struct {
	params Params

	mu       sync.Mutex
	services map[string]*serviceHistory
}

// serviceHistory is the statistics of the answers of one service.
type serviceHistory struct {
	mean    float64
	samples int
	// buckets holds the statistics by the magnitude of the requests' token limit.
	buckets map[int]*bucket
}

type bucket struct {
	mean    float64
	samples int
}

// New returns a Predictor without samples.
func New(p Params) *Predictor { return &Predictor{params: p, services: map[string]*serviceHistory{}} }

// bucketIndex returns the magnitude of a token limit: its length in bits.
func bucketIndex(maxTokens int) int { return bits.Len(uint(max(0, maxTokens))) }

// Observe adds the size of a complete answer to a request with the token limit
// maxTokens, zero if it had none.
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

// Predict returns the expected size of an answer to a request with the token limit
// maxTokens, zero if it has none. The result is never above the limit. It is zero if
// there is neither a limit nor a sample.
func (p *Predictor) Predict(service string, maxTokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.predict(p.services[service], maxTokens)
}

// predict predicts from a service's history, which may be nil. mu must be held.
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

// IsLong reports whether the answer to a request is expected to be much longer than
// the service's other answers.
func (p *Predictor) IsLong(service string, maxTokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.services[service]
	if h == nil || h.samples < p.params.MinSamples {
		return false
	}
	return p.predict(h, maxTokens) > p.params.LongFactor*h.medianSize()
}

// medianSize returns the median size by buckets. Unlike the mean, it does not move
// with the long answers or with a few tiny ones.
func (h *serviceHistory) medianSize() float64 {
	buckets := slices.SortedFunc(maps.Values(h.buckets), func(a, b *bucket) int { return cmp.Compare(a.mean, b.mean) })
	seen := 0
	for _, b := range buckets {
		seen += b.samples
		if 2*seen >= h.samples {
			return max(1, b.mean)
		}
	}
	return max(1, h.mean)
}
