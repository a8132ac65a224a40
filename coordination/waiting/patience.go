package waiting

import "time"

const (
	// patienceWindow is the time for which the longest wait of a route's callers is remembered
	// at least.
	patienceWindow = time.Minute
	// retryShare is the share of the longest wait below which a caller has probably been
	// refused before: its next attempt waits as much less as has passed meanwhile.
	retryShare = 0.98
	// maxPatienceRoutes bounds the routes that are remembered.
	maxPatienceRoutes = 4096
)

// Patience tells callers' first attempts from later ones by how long they still wait, compared
// with the route's other callers. It is not safe for concurrent use.
type Patience struct {
	since             time.Time
	current, previous map[string]time.Duration
}

// IsRetry reports whether a request of the route whose caller waits for the given time, 0 if
// that is not known, is probably not the caller's first attempt.
func (p *Patience) IsRetry(now time.Time, route string, wait time.Duration) bool {
	if p.current == nil || now.Sub(p.since) >= patienceWindow {
		p.since, p.previous, p.current = now, p.current, map[string]time.Duration{}
	}
	if len(p.current) < maxPatienceRoutes {
		p.current[route] = max(p.current[route], wait)
	}
	longest := max(p.current[route], p.previous[route])
	return wait > 0 && float64(wait) < retryShare*float64(longest)
}
