package spare

import (
	"slices"
	"time"
)

// Inflow counts the online requests of a target, also those that its last report
// can't show yet. It answers a step of traffic at many gateways: all of them ask
// within a few milliseconds, while the target is looked at every 25 ms. It is not safe
// for concurrent use.
type Inflow struct {
	// Window is how long an announced request is counted: until a report shows it.
	Window time.Duration

	announced []time.Time
	reported  int
}

// Announce notes a request that is about to be sent to the target.
func (f *Inflow) Announce(now time.Time) {
	f.forget(now)
	f.announced = append(f.announced, now)
}

// Report notes the online requests that the target has by its own report.
func (f *Inflow) Report(online int) { f.reported = online }

// Online returns the requests that run, wait or are about to come.
func (f *Inflow) Online(now time.Time) int {
	f.forget(now)
	return f.reported + len(f.announced)
}

func (f *Inflow) forget(now time.Time) {
	f.announced = slices.DeleteFunc(f.announced, func(at time.Time) bool { return now.Sub(at) > f.Window })
}
