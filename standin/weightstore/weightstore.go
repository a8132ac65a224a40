// Package weightstore is a stand-in for the platform's weight store, which
// limits the rate of fetches.
package weightstore

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Store is the weight store.
type Store struct {
	limiter *rate.Limiter
	size    int
	fetches atomic.Uint64
}

// New returns a store that serves weights of size bytes at most perSecond
// times a second, with bursts of burst.
func New(perSecond float64, burst, size int) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), size: size}
}

// Fetches returns the number of fetches served.
func (s *Store) Fetches() uint64 { return s.fetches.Load() }

// Handler serves GET /weights/{model}/{version}.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, _ *http.Request) {
		if !s.limiter.Allow() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		s.fetches.Add(1)
		_, _ = w.Write(make([]byte, s.size))
	})
	return mux
}
