package quarantine

import (
	"maps"
	"slices"
	"time"
)

// BrokenRun is a run of a request whose connection to the target broke.
type BrokenRun struct {
	// Fingerprint identifies the request by its content. Target identifies the
	// incarnation of the target's process.
	Fingerprint string
	Target      string
	// PromptParts are the shared parts of the request's prompt, and SuspectedParts those
	// that were suspected when the run began.
	PromptParts    []string
	SuspectedParts []string
	// Produced is set if the request had produced output in this run.
	Produced bool
	At       time.Time
}

// maxUndecided bounds the broken runs for which it is still unknown whether the
// target has ended.
const maxUndecided = 1 << 12

// CrashDetector tells runs that broke because their target crashed from runs that lost
// only the connection. It finds requests that crash every target that runs them,
// despite network faults and targets that give wrong answers: a target has crashed if
// its incarnation has ended without draining first. It is not safe for concurrent use.
type CrashDetector struct {
	// Window is how long after a broken run the end of the incarnation still counts
	// as a crash under that run.
	Window time.Duration

	undecided []BrokenRun
	// ended holds when the incarnations in it were found to have ended.
	ended map[string]time.Time
}

// TargetStatus is the status of an incarnation of a target.
type TargetStatus int

// The statuses of a target.
const (
	// TargetRunning is the status of a target that runs and is not draining.
	TargetRunning TargetStatus = iota
	// TargetDraining is the status of a target that has announced that it leaves.
	TargetDraining
	// TargetEnded is the status of a target that has ended.
	TargetEnded
)

// Add records a broken run, unless maxUndecided runs are recorded already.
func (d *CrashDetector) Add(run BrokenRun) {
	if len(d.undecided) < maxUndecided {
		d.undecided = append(d.undecided, run)
	}
}

// MarkEnded records that an incarnation of a target was found to have ended, before its
// status shows it: a request that comes again every few hundred milliseconds crashes many
// targets until the heartbeats of the first one are missed.
func (d *CrashDetector) MarkEnded(now time.Time, target string) {
	if d.ended == nil {
		d.ended = map[string]time.Time{}
	}
	d.ended[target] = now
}

// HasEnded reports whether the incarnation was marked as ended within Window.
func (d *CrashDetector) HasEnded(target string) bool {
	_, ended := d.ended[target]
	return ended
}

// Len returns the number of broken runs for which it is still unknown whether the
// target has ended.
func (d *CrashDetector) Len() int { return len(d.undecided) }

// Crashed returns the broken runs whose targets have ended without draining, according to
// their status or MarkEnded. It forgets these, those whose targets are draining, and those
// older than Window.
func (d *CrashDetector) Crashed(now time.Time, status func(target string) TargetStatus) []BrokenRun {
	var crashed []BrokenRun
	d.undecided = slices.DeleteFunc(d.undecided, func(run BrokenRun) bool {
		switch current := status(run.Target); {
		case current == TargetDraining:
			return true
		case current == TargetEnded || d.HasEnded(run.Target):
			crashed = append(crashed, run)
			return true
		}
		return now.Sub(run.At) > d.Window
	})
	maps.DeleteFunc(d.ended, func(_ string, at time.Time) bool { return now.Sub(at) > d.Window })
	return crashed
}
