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
	// LeaseDuration is how long a turn lasts without a renewal.
	LeaseDuration = 6 * time.Second
	// RenewInterval is the time between two renewals of a turn.
	RenewInterval = 2 * time.Second
	// OrderWindow is how old the proof of being current may be when an order is sent.
	OrderWindow = time.Second
	// RevokeAfter is the silence after which others revoke a turn.
	RevokeAfter = LeaseDuration + time.Second
	// AbsentAfter is how long an instance is missing from the instance list before
	// its targets count no more.
	AbsentAfter = 15 * time.Second
)

// Lease is the holder's own view of its turn.
type Lease struct {
	renewedAt time.Time
}

// Confirm notes that a claim or renewal that was sent at the given time was read
// back from the log as in force.
func (l *Lease) Confirm(sent time.Time) {
	if sent.After(l.renewedAt) {
		l.renewedAt = sent
	}
}

// Valid reports whether the turn has not lapsed.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.renewedAt) < LeaseDuration }

// OrderDeadline returns until when an order may be sent on this proof.
func (l *Lease) OrderDeadline() time.Time { return l.renewedAt.Add(OrderWindow) }

// StallDetector finds targets of which the log shows nothing new for a time. It is
// not safe for concurrent use.
type StallDetector struct {
	timeout   time.Duration
	sightings map[string]sighting
}

type sighting struct {
	position    protocol.Position
	firstSeenAt time.Time
}

// NewStallDetector returns an observer with the limit of silence.
func NewStallDetector(limit time.Duration) *StallDetector {
	return &StallDetector{timeout: limit, sightings: map[string]sighting{}}
}

// Stalled takes the targets to observe, with their last records as folded by now,
// and returns those that have been silent for longer than the limit.
func (o *StallDetector) Stalled(now time.Time, targets map[string]protocol.Position) []protocol.LoadRevoke {
	current := make(map[string]sighting, len(targets))
	var silent []protocol.LoadRevoke
	for name, last := range targets {
		s, found := o.sightings[name]
		if !found || s.position != last {
			s = sighting{position: last, firstSeenAt: now}
		}
		current[name] = s
		if now.Sub(s.firstSeenAt) > o.timeout {
			silent = append(silent, protocol.LoadRevoke{Target: name, Seen: last})
		}
	}
	o.sightings = current
	return silent
}
