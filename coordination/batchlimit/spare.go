// Package batchlimit decides how many batch items run at a target beside its online
// requests.
//
// It answers online traffic that comes in steps of a few seconds, at an engine
// that admits in order of arrival and knows no priorities: items fill every slot
// that online requests leave, and give slots back as soon as the engine is about to queue.
package batchlimit

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

// Limits is how many items should run.
type Limits struct {
	// MaxRunning is how many of those that run may go on.
	MaxRunning int
	// MaxAfterStarts is how many may run after starting more; it is never above Keep.
	MaxAfterStarts int
}

// Limiter decides how many items run, by the loads that it has seen lately. It is
// not safe for concurrent use.
type Limiter struct {
	// SettleTime is how long a slot must have been spare before an item starts there.
	SettleTime time.Duration

	samples []sample
}

type sample struct {
	at     time.Time
	online int
}

// Update takes the load at the time now.
func (m *Limiter) Update(now time.Time, l Load) Limits {
	online := l.Online()
	m.samples = append(m.samples, sample{now, online})
	for now.Sub(m.samples[0].at) > m.SettleTime {
		m.samples = m.samples[1:]
	}
	most := online
	for _, s := range m.samples {
		most = max(most, s.online)
	}
	return Limits{MaxRunning: max(0, l.Slots-online), MaxAfterStarts: max(0, l.Slots-most)}
}
