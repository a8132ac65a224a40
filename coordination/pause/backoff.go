package pause

import (
	"math/rand/v2"
	"time"
)

// Backoff yields the delays between retries of one kind of call. They double up to Max, and
// each is random between half of that and all of it, so that many processes that fail at
// the same moment neither retry at the same moment nor together exceed what the overloaded
// service can take. It is not safe for concurrent use.
type Backoff struct {
	Min time.Duration
	Max time.Duration

	last time.Duration
}

// Next returns the delay before the next retry.
func (b *Backoff) Next() time.Duration {
	b.last = min(max(b.Min, 2*b.last), b.Max)
	return b.last/2 + rand.N(b.last/2+1)
}

// Reset notes a success.
func (b *Backoff) Reset() { b.last = 0 }
