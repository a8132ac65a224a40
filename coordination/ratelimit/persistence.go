package ratelimit

import "time"

const (
	// maxPersistence bounds how long a request is held that no gateway can decide about, and
	// persistenceDivisor bounds that to this part of the time that it has left.
	maxPersistence     = 2 * time.Second
	persistenceDivisor = 3
	// askInterval is the time between two attempts to find a gateway that decides. Half of it
	// is random, so that requests that came together do not ask together.
	askInterval = 80 * time.Millisecond
	// maxUndecided bounds the number of requests that are held at one gateway.
	maxUndecided = 256
)

// Persistence decides whether a request asks again that no gateway can decide about: the owner
// of its workspace is lost, or has just started like all others. When power returns to a whole
// site, owners decide again within a second or two, while callers come back at once and mostly
// try once more only. A late answer is worth more to them than a second refusal.
type Persistence struct {
	until time.Duration
}

// NewPersistence returns the persistence of a request that came at now and has the given time
// left, 0 if that is not known. undecided is the number of requests that are held already.
func NewPersistence(now, left time.Duration, undecided int) Persistence {
	if undecided >= maxUndecided {
		return Persistence{}
	}
	bound := maxPersistence
	if left > 0 {
		bound = min(bound, left/persistenceDivisor)
	}
	return Persistence{until: now + bound}
}

// Next returns the pause before the request asks again, and false if it must be refused.
// random is in [0, 1).
func (p Persistence) Next(now time.Duration, random float64) (time.Duration, bool) {
	pause := askInterval/2 + time.Duration(random*float64(askInterval/2))
	return pause, now+pause < p.until
}
