package capacity

import "time"

const (
	// failureWindow is the age of the oldest outcome by which a target is judged. It fails if
	// at least minFailures of them, and half, are failures, over minFailureSpan: one failed
	// request is no evidence, and neither are connections that all break at one moment.
	failureWindow  = 2 * time.Second
	minFailures    = 3
	minFailureSpan = 500 * time.Millisecond
	// minReturns is the number of successes in a row after which a failing target is trusted.
	minReturns = 3
	// maxOutcomes bounds the outcomes that are kept.
	maxOutcomes = 16
)

// failures judges a target by the outcomes of its requests at all gateways: its health may be
// good while it fails part of them.
type failures struct {
	outcomes []outcome
	failing  bool
	// returns is the number of successes since the last failure.
	returns int
}

type outcome struct {
	at     time.Time
	failed bool
}

// observe adds the outcome of a request.
func (f *failures) observe(at time.Time, failed bool) {
	f.outcomes = append(f.outcomes, outcome{at, failed})
	for len(f.outcomes) > maxOutcomes || at.Sub(f.outcomes[0].at) > failureWindow {
		f.outcomes = f.outcomes[1:]
	}
	f.returns++
	if failed {
		f.returns = 0
	}
	switch {
	case f.returns >= minReturns:
		f.failing = false
	case f.failsMost():
		f.failing = true
	}
}

// failsMost reports whether the target has failed half of the requests of failureWindow.
func (f *failures) failsMost() bool {
	failed := 0
	var first, last time.Time
	for _, o := range f.outcomes {
		if !o.failed {
			continue
		}
		if failed == 0 {
			first = o.at
		}
		last = o.at
		failed++
	}
	return failed >= minFailures && 2*failed >= len(f.outcomes) && last.Sub(first) >= minFailureSpan
}
