// Package spare decides how many batch items run at a target beside its online
// requests.
//
// It answers online traffic that comes in steps of a few seconds, at an engine
// that admits in order of arrival and knows no priorities: items fill every slot
// that online requests leave, and give slots back as soon as the engine is about to queue.
package spare

import "time"

// Load is a target's state, as it reports itself.
type Load struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Running and Waiting count all requests there, Items those that are batch
	// items of this process.
	Running int
	Waiting int
	Items   int
}

// Online returns the number of online requests at the target.
func (l Load) Online() int { return max(0, l.Running+l.Waiting-l.Items) }

// Room is how many items should run.
type Room struct {
	// Keep is how many of those that run may go on.
	Keep int
	// Fill is how many may run after starting more; it is never above Keep.
	Fill int
}

// Meter decides how many items run, by the loads that it has seen lately. It is
// not safe for concurrent use.
type Meter struct {
	// Settle is how long a slot must have been spare before an item starts there.
	Settle time.Duration

	seen []sample
}

type sample struct {
	at     time.Time
	online int
}

// Room takes the load at the time now.
func (m *Meter) Room(now time.Time, l Load) Room {
	online := l.Online()
	m.seen = append(m.seen, sample{now, online})
	for now.Sub(m.seen[0].at) > m.Settle {
		m.seen = m.seen[1:]
	}
	most := online
	for _, s := range m.seen {
		most = max(most, s.online)
	}
	return Room{Keep: max(0, l.Slots-online), Fill: max(0, l.Slots-most)}
}
