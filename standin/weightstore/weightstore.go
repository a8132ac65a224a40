// Package weightstore is a stand-in for the platform's weight store, which
// limits the rate of fetches.
package weightstore

import (
	"net/http"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// Store is a weight store. It is safe for concurrent use.
type Store struct {
	limiter *rate.Limiter
	size    int
	fetches atomic.Uint64
	refused atomic.Uint64
	down    atomic.Bool
}

// New returns a store that serves weights of size bytes, with at most perSecond
// fetches a second and bursts of at most burst fetches.
func New(perSecond float64, burst, size int) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), size: size}
}

// Fetches returns the number of fetches served.
func (s *Store) Fetches() uint64 { return s.fetches.Load() }

// Refused returns the number of fetches that were rate-limited or failed.
func (s *Store) Refused() uint64 { return s.refused.Load() }

// SetDown sets whether every fetch fails.
func (s *Store) SetDown(down bool) { s.down.Store(down) }

// Handler serves GET /weights/{model}/{version}, and for tests POST and
// DELETE /down.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{model}/{version}", func(w http.ResponseWriter, _ *http.Request) {
		if s.down.Load() {
			s.refused.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if !s.limiter.Allow() {
			s.refused.Add(1)
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		s.fetches.Add(1)
		_, _ = w.Write(make([]byte, s.size))
	})
	mux.HandleFunc("POST /down", func(http.ResponseWriter, *http.Request) { s.SetDown(true) })
	mux.HandleFunc("DELETE /down", func(http.ResponseWriter, *http.Request) { s.SetDown(false) })
	return mux
}
