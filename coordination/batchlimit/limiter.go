// Package batchlimit decides how many batch items run at a target beside its online
// requests.
//
// It is designed for online traffic that rises and falls in steps of a few seconds,
// at an engine that admits requests in order of arrival and has no priorities: items
// fill every slot that online requests leave free, and release slots as soon as the
// engine is about to queue requests.
package batchlimit

import "time"

// Load is a target's load, as the target reports it.
type Load struct {
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Running and Waiting are the numbers of all requests at the target, Items is the
	// number of those that are batch items of this process.
	Running int
	Waiting int
	Items   int
}

// Online returns the number of online requests at the target.
func (l Load) Online() int { return max(0, l.Running+l.Waiting-l.Items) }

// Limits are limits of the number of items that run.
type Limits struct {
	// MaxRunning is the number of running items that may continue.
	MaxRunning int
	// MaxAfterStarts is the number of items that may run after starting more of them.
	// It is never above MaxRunning.
	MaxAfterStarts int
}

// Limiter limits the number of items that run, based on the target's recent loads.
// It is not safe for concurrent use.
type Limiter struct {
	// SettleTime is how long a slot must have been free before an item starts in it.
	SettleTime time.Duration

	samples []sample
}

type sample struct {
	at     time.Time
	online int
}

// Update adds the load at the time now, and returns the limits that follow.
func (l *Limiter) Update(now time.Time, load Load) Limits {
	online := load.Online()
	l.samples = append(l.samples, sample{now, online})
	for now.Sub(l.samples[0].at) > l.SettleTime {
		l.samples = l.samples[1:]
	}
	peak := online
	for _, s := range l.samples {
		peak = max(peak, s.online)
	}
	return Limits{MaxRunning: max(0, load.Slots-online), MaxAfterStarts: max(0, load.Slots-peak)}
}
