// Package placement decides who may order engines, and when a turn to load has
// lapsed. Both go by the process's own monotonic clock: a holder counts from
// before it sent its renewal, an observer from after it folded it, so that the
// holder always stops first.
package placement

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// LeaseTime is how long a turn lasts without a renewal.
	LeaseTime = 6 * time.Second
	// RenewInterval is the time between two renewals of a turn.
	RenewInterval = 2 * time.Second
	// OrderWindow is how old the proof of being current may be when an order is sent.
	OrderWindow = time.Second
	// RevokeTime is the silence after which others revoke a turn.
	RevokeTime = LeaseTime + time.Second
	// GoneTime is how long an instance is missing from the instance list before
	// its targets count no more.
	GoneTime = 15 * time.Second
)

// Lease is the holder's own view of its turn.
type Lease struct {
	sent time.Time
}

// Proved notes that a claim or renewal that was sent at the given time was read
// back from the log as in force.
func (l *Lease) Proved(sent time.Time) {
	if sent.After(l.sent) {
		l.sent = sent
	}
}

// Valid reports whether the turn has not lapsed.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.sent) < LeaseTime }

// OrderBy returns until when an order may be sent on this proof.
func (l *Lease) OrderBy() time.Time { return l.sent.Add(OrderWindow) }

// Observer finds targets of which the log shows nothing new for a time. It is
// not safe for concurrent use.
type Observer struct {
	limit time.Duration
	seen  map[string]sighting
}

type sighting struct {
	last protocol.Position
	at   time.Time
}

// NewObserver returns an observer with the limit of silence.
func NewObserver(limit time.Duration) *Observer {
	return &Observer{limit: limit, seen: map[string]sighting{}}
}

// Silent takes the targets to observe, with their last records as folded by now,
// and returns those that have been silent for longer than the limit.
func (o *Observer) Silent(now time.Time, targets map[string]protocol.Position) []protocol.LoadRevoke {
	current := make(map[string]sighting, len(targets))
	var silent []protocol.LoadRevoke
	for name, last := range targets {
		s, found := o.seen[name]
		if !found || s.last != last {
			s = sighting{last: last, at: now}
		}
		current[name] = s
		if now.Sub(s.at) > o.limit {
			silent = append(silent, protocol.LoadRevoke{Target: name, Seen: last})
		}
	}
	o.seen = current
	return silent
}
