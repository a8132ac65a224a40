// Package placement times the leases that allow a holder to send load orders to the
// engine of a target. The holder and its observers each use their own monotonic
// clock. The holder counts from before it sent a renewal, an observer from after it
// has folded that renewal from the log, so the holder's lease always expires before
// an observer revokes it.
package placement

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// LeaseDuration is how long a lease lasts without a renewal.
	LeaseDuration = 6 * time.Second
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 2 * time.Second
	// OrderWindow is the maximum age of the last confirmed renewal when an order is
	// sent.
	OrderWindow = time.Second
	// RevokeAfter is the time without a renewal after which observers revoke a lease.
	RevokeAfter = LeaseDuration + time.Second
	// AbsentAfter is how long an instance must be missing from the instance list
	// before its targets are removed.
	AbsentAfter = 15 * time.Second
)

// Lease is the holder's own view of its lease.
type Lease struct {
	renewedAt time.Time
}

// Confirm notes that a claim or renewal sent at the given time was read back from
// the log as in force.
func (l *Lease) Confirm(sentAt time.Time) {
	if sentAt.After(l.renewedAt) {
		l.renewedAt = sentAt
	}
}

// Valid reports whether the lease has not expired.
func (l *Lease) Valid(now time.Time) bool { return now.Sub(l.renewedAt) < LeaseDuration }

// OrderDeadline returns the time until which an order may be sent without another
// renewal.
func (l *Lease) OrderDeadline() time.Time { return l.renewedAt.Add(OrderWindow) }

// StallDetector finds targets for which the log has shown no new record for a
// time-out. It is not safe for concurrent use.
type StallDetector struct {
	timeout   time.Duration
	sightings map[string]sighting
}

// sighting is the position of a target's last record and when it was first seen.
type sighting struct {
	position    protocol.Position
	firstSeenAt time.Time
}

// NewStallDetector returns a detector with the given time-out.
func NewStallDetector(timeout time.Duration) *StallDetector {
	return &StallDetector{timeout: timeout, sightings: map[string]sighting{}}
}

// Stalled takes the targets to watch with the positions of their last records as
// folded by now, and returns those whose position has not changed for longer than
// the time-out.
func (d *StallDetector) Stalled(now time.Time, targets map[string]protocol.Position) []protocol.LoadRevoke {
	current := make(map[string]sighting, len(targets))
	var stalled []protocol.LoadRevoke
	for name, last := range targets {
		s, found := d.sightings[name]
		if !found || s.position != last {
			s = sighting{position: last, firstSeenAt: now}
		}
		current[name] = s
		if now.Sub(s.firstSeenAt) > d.timeout {
			stalled = append(stalled, protocol.LoadRevoke{Target: name, Seen: last})
		}
	}
	d.sightings = current
	return stalled
}
