// Package expiry decides when items of an accepted job may be given up: once the retention of
// the job's route is over.
//
// It is designed for processes whose clocks differ and jump. The age of a job counts from when
// this process first read of it, by its own monotonic clock, and is never overestimated: an item
// that is given up too early is lost, while one that is given up late costs only time. A process
// that starts later takes longer; the others know the job as long as before.
package expiry

import (
	"time"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// abandonedFactor is the multiple of the retention after which any batcher may give the item up,
// whatever service its target belongs to: by then no batcher of the item's own service takes it.
const abandonedFactor = 2

// Retention returns how long the job's items are kept, 0 if for ever: as long as its route says,
// or said when the job was accepted if that is longer.
func Retention(route *fleet.Route, a *worklog.Accept) time.Duration {
	accepted := time.Duration(a.RetentionMillis) * time.Millisecond
	if route == nil {
		return accepted
	}
	return max(route.Retention, accepted)
}

// IsExpired reports whether an item of the job, of which this process has known since the given
// time, may be given up if it does not run.
func IsExpired(now, knownSince time.Time, route *fleet.Route, a *worklog.Accept) bool {
	retention := Retention(route, a)
	return retention > 0 && now.Sub(knownSince) >= retention
}

// IsAbandoned reports whether an item of the job is to be given up by whoever finds it.
func IsAbandoned(now, knownSince time.Time, route *fleet.Route, a *worklog.Accept) bool {
	retention := Retention(route, a)
	return retention > 0 && now.Sub(knownSince) >= abandonedFactor*retention
}
