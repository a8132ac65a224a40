package batchlimit

import (
	"slices"
	"time"
)

// OnlineCounter counts the online requests of a target, also those that its last report
// can't show yet. It answers a step of traffic at many gateways: all of them ask
// within a few milliseconds, while the target is looked at every 25 ms. It is not safe
// for concurrent use.
type OnlineCounter struct {
	// Window is how long an announced request is counted: until a report shows it.
	Window time.Duration

	announced []time.Time
	reported  int
}

// Announce notes a request that is about to be sent to the target.
func (f *OnlineCounter) Announce(now time.Time) {
	f.dropExpired(now)
	f.announced = append(f.announced, now)
}

// SetReported notes the online requests that the target has by its own report.
func (f *OnlineCounter) SetReported(online int) { f.reported = online }

// Count returns the requests that run, wait or are about to come.
func (f *OnlineCounter) Count(now time.Time) int {
	f.dropExpired(now)
	return f.reported + len(f.announced)
}

func (f *OnlineCounter) dropExpired(now time.Time) {
	f.announced = slices.DeleteFunc(f.announced, func(at time.Time) bool { return now.Sub(at) > f.Window })
}
