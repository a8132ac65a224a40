package quarantine

import (
	"slices"
	"time"
)

// Break is a run that broke off with its target's connection.
type Break struct {
	// Fingerprint identifies the request by its content, Target the incarnation.
	Fingerprint string
	Target      string
	// Produced is set where the request had brought output there.
	Produced bool
	At       time.Time
}

// maxBreaks bounds the runs of which it is not known yet whether their targets ended.
const maxBreaks = 1 << 12

// Breaks tells the runs that broke off because their target ended from those whose
// connection alone was lost. It answers a request that crashes each target that runs
// it, among faults of the network and targets that answer wrongly: a target counts as
// crashed once its incarnation has ended, and not if it had said before that it leaves. It
// is not safe for concurrent use.
type Breaks struct {
	// Patience is how long after a break the end of an incarnation still counts.
	Patience time.Duration

	open []Break
}

// Status is what has become of a target.
type Status int

// The statuses.
const (
	// StatusRunning is that of a target that goes on.
	StatusRunning Status = iota
	// StatusDraining is that of a target that has said that it leaves.
	StatusDraining
	// StatusEnded is that of a target that has ended.
	StatusEnded
)

// Add notes a run that broke off.
func (b *Breaks) Add(broken Break) {
	if len(b.open) < maxBreaks {
		b.open = append(b.open, broken)
	}
}

// Len returns the number of runs of which it is not known yet what became of their
// targets.
func (b *Breaks) Len() int { return len(b.open) }

// Crashed returns the breaks whose targets have ended, and forgets these and those
// that say nothing any more.
func (b *Breaks) Crashed(now time.Time, status func(target string) Status) []Break {
	var crashed []Break
	b.open = slices.DeleteFunc(b.open, func(x Break) bool {
		switch status(x.Target) {
		case StatusEnded:
			crashed = append(crashed, x)
			return true
		case StatusDraining:
			return true
		}
		return now.Sub(x.At) > b.Patience
	})
	return crashed
}
