package ratelimit

import (
	"slices"
	"time"
)

// maxPool bounds the number of admissions that a pool remembers, and so admits in a window.
const maxPool = 1024

// pool admits at most a given number of requests in any window.
type pool struct {
	// admitted holds when the admissions of the last window were made.
	admitted []time.Duration
}

// take admits a request if fewer than size were admitted in the window before now.
func (p *pool) take(now, window time.Duration, size float64) bool {
	p.admitted = slices.DeleteFunc(p.admitted, func(at time.Duration) bool { return now-at >= window })
	if float64(len(p.admitted)+1) > min(size, maxPool) {
		return false
	}
	p.admitted = append(p.admitted, now)
	return true
}

// put takes the latest admission back.
func (p *pool) put() {
	if n := len(p.admitted); n > 0 {
		p.admitted = p.admitted[:n-1]
	}
}
