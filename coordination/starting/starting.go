// Package starting decides which requests wait at a process that has just started.
//
// Such a process cannot serve until it has read the configuration and the targets. When
// power returns to many instances at once, all their callers try again within the same
// moment, and a caller whose last try is refused is lost. A request therefore waits for the
// first reads, if they are likely to end in time for it.
package starting

import (
	"sync"
	"time"
)

const (
	// window is the time after the start of a process within which requests may wait. Where
	// the first reads take longer, the store is in trouble and another process serves sooner.
	window = 1500 * time.Millisecond
	// maxWait bounds the wait of one request. It is less than the second after which callers
	// leave a process that has not read their request.
	maxWait = 500 * time.Millisecond
	// waitDivisor bounds the wait to this part of the time that a request has left.
	waitDivisor = 4
	// maxWaiting bounds the number of requests that wait. Their bodies are not read yet.
	maxWaiting = 256
	// retryAfter is the time after which the caller of a request that was refused should
	// come back: most processes have ended their first reads by then.
	retryAfter = 300 * time.Millisecond
)

// Gate bounds the requests that wait at a process for its first reads. It is safe for
// concurrent use.
type Gate struct {
	started time.Time

	mu      sync.Mutex
	waiting int
}

// NewGate returns the gate of a process that started at the given time.
func NewGate(started time.Time) *Gate { return &Gate{started: started} }

// Arrival describes a request that arrives before the first reads have ended.
type Arrival struct {
	Now time.Time
	// Deadline is when the caller gives up, zero if it is not known.
	Deadline time.Time
	// StoreFails is set if the last of the first reads failed.
	StoreFails bool
}

// Enter returns for how long the request may wait, or 0 if it must be refused at once.
// Leave must be called after a wait.
func (g *Gate) Enter(a Arrival) time.Duration {
	wait := min(maxWait, g.started.Add(window).Sub(a.Now))
	if !a.Deadline.IsZero() {
		wait = min(wait, a.Deadline.Sub(a.Now)/waitDivisor)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.StoreFails || wait <= 0 || g.waiting >= maxWaiting {
		return 0
	}
	g.waiting++
	return wait
}

// Leave notes the end of a wait.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting--
}

// Waiting returns the number of requests that wait.
func (g *Gate) Waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.waiting
}

// RetryAfter returns the time after which the caller of a refused request should come back.
func (*Gate) RetryAfter() time.Duration { return retryAfter }
