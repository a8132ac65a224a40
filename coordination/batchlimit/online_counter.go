package batchlimit

import (
	"slices"
	"time"
)

// OnlineCounter counts the online requests of a target, including those that its
// last report cannot include yet. When traffic rises in a step, many gateways ask for
// the count within a few milliseconds, while the target is polled every 25 ms. It is
// not safe for concurrent use.
type OnlineCounter struct {
	// Window is how long an announced request is counted. It lasts until a report
	// includes the request.
	Window time.Duration

	announced []time.Time
	reported  int
}

// Announce adds a request that is about to be sent to the target.
func (c *OnlineCounter) Announce(now time.Time) {
	c.dropExpired(now)
	c.announced = append(c.announced, now)
}

// SetReported sets the number of online requests that the target has reported.
func (c *OnlineCounter) SetReported(online int) { c.reported = online }

// Count returns the number of online requests that run, wait or are about to arrive.
func (c *OnlineCounter) Count(now time.Time) int {
	c.dropExpired(now)
	return c.reported + len(c.announced)
}

// dropExpired drops the announced requests that are older than Window.
func (c *OnlineCounter) dropExpired(now time.Time) {
	c.announced = slices.DeleteFunc(c.announced, func(at time.Time) bool { return now.Sub(at) > c.Window })
}
