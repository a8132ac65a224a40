package quarantine

import (
	"slices"
	"time"
)

// BrokenRun is a run that broke off with its target's connection.
type BrokenRun struct {
	// Fingerprint identifies the request by its content, Target the incarnation.
	Fingerprint string
	Target      string
	// Produced is set where the request had brought output there.
	Produced bool
	At       time.Time
}

// maxUndecided bounds the runs of which it is not known yet whether their targets ended.
const maxUndecided = 1 << 12

// CrashDetector tells the runs that broke off because their target ended from those whose
// connection alone was lost. It answers a request that crashes each target that runs
// it, among faults of the network and targets that answer wrongly: a target counts as
// crashed once its incarnation has ended, and not if it had said before that it leaves. It
// is not safe for concurrent use.
type CrashDetector struct {
	// Window is how long after a break the end of an incarnation still counts.
	Window time.Duration

	undecided []BrokenRun
}

// TargetStatus is what has become of a target.
type TargetStatus int

// The statuses.
const (
	// TargetRunning is that of a target that goes on.
	TargetRunning TargetStatus = iota
	// TargetDraining is that of a target that has said that it leaves.
	TargetDraining
	// TargetEnded is that of a target that has ended.
	TargetEnded
)

// Add notes a run that broke off.
func (b *CrashDetector) Add(broken BrokenRun) {
	if len(b.undecided) < maxUndecided {
		b.undecided = append(b.undecided, broken)
	}
}

// Len returns the number of runs of which it is not known yet what became of their
// targets.
func (b *CrashDetector) Len() int { return len(b.undecided) }

// Crashed returns the breaks whose targets have ended, and forgets these and those
// that say nothing any more.
func (b *CrashDetector) Crashed(now time.Time, status func(target string) TargetStatus) []BrokenRun {
	var crashed []BrokenRun
	b.undecided = slices.DeleteFunc(b.undecided, func(x BrokenRun) bool {
		switch status(x.Target) {
		case TargetEnded:
			crashed = append(crashed, x)
			return true
		case TargetDraining:
			return true
		}
		return now.Sub(x.At) > b.Window
	})
	return crashed
}
