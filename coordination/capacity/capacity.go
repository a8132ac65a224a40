// Package capacity learns how many requests a target takes well from what it does.
//
// It answers targets of one service that differ in speed, that slow down before their
// slots are full or while neighbours use their machine, and that change from one second
// to the next. A target takes a number of requests well if the first event and the pauses
// between events stay within what their routes need. No speed is configured: the time to
// the first event and the time between events, each against the number of requests that
// ran, are all that is known of a target.
//
// Each of both times is the product of the target's current pace and of a slowdown by
// load. The pace is a median over the last second: one slow request does not change it,
// and a change of the target does within half of that time. The slowdown by load is learned
// slowly, and only for the loads that were seen: a load that was never reached has no
// slowdown beyond the highest one seen, so that a limit does not drift while load is low.
package capacity

import "time"

// Need is what the requests of a target need. A zero field needs nothing.
type Need struct {
	FirstEvent time.Duration
	EventGap   time.Duration
}

// And returns the stricter of both needs.
func (n Need) And(other Need) Need {
	return Need{FirstEvent: stricter(n.FirstEvent, other.FirstEvent), EventGap: stricter(n.EventGap, other.EventGap)}
}

func stricter(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// Observation is what a request met at a target.
type Observation struct {
	At time.Time
	// Running is the number of requests that ran there, this one included.
	Running int
	// FirstEvent is the time to the first event and Step the mean time between two events;
	// either is 0 if it is not known.
	FirstEvent time.Duration
	Step       time.Duration
	// Ended is set if the request has ended there, and Failed if by a fault of the target.
	Ended  bool
	Failed bool
}

// Expectation is what one more request would meet. A time is 0 if it is not known.
type Expectation struct {
	FirstEvent time.Duration
	Step       time.Duration
}

// Reason says why an estimate is what it is.
type Reason string

// Reasons of estimates.
const (
	// ReasonUnknown means that too little was seen: the target's own number of slots holds.
	ReasonUnknown Reason = "unknown"
	// ReasonSlots means that the target takes as many requests well as it has slots.
	ReasonSlots Reason = "slots"
	// ReasonFirstEvent and ReasonEventGap mean that with more requests the first event, or
	// the pauses between events, would take longer than the requests need.
	ReasonFirstEvent Reason = "first_event"
	ReasonEventGap   Reason = "event_gap"
	// ReasonFailures means that the target fails most of its requests: it gets one at a time
	// until it has served some.
	ReasonFailures Reason = "failures"
)

// Estimate is the number of requests that a target takes well.
type Estimate struct {
	// Requests is at least 1 and at most the target's number of slots.
	Requests int
	// Reason says what limits Requests, and ChangedAt when Requests last changed.
	Reason    Reason
	ChangedAt time.Time
	// ObservedAt is the time of the newest observation, zero if there is none.
	ObservedAt time.Time
}

const (
	// objectiveShare is the share of what requests need that their expected times may take:
	// the times of single requests spread, and a stream leaves a target that has used more
	// of its objective.
	objectiveShare = 0.5
	// maxAge is the age of the newest observation from which an estimate no longer limits: a
	// target that got no request has to get some to show that it has recovered.
	maxAge = 5 * time.Second
)

// Learner learns what one incarnation of a target takes well. It is not safe for
// concurrent use.
type Learner struct {
	first, step curve
	failures    failures
	observedAt  time.Time
	estimate    Estimate
}

// Reset forgets everything, for another incarnation of the target.
func (l *Learner) Reset() { *l = Learner{} }

// Observe adds an observation. slots is the target's number of slots.
func (l *Learner) Observe(o Observation, slots int) {
	if o.Ended {
		l.failures.observe(o.At, o.Failed)
	}
	if o.At.After(l.observedAt) {
		l.observedAt = o.At
	}
	if slots <= 0 || o.Running <= 0 {
		return
	}
	level := levelOf(o.Running, slots)
	if o.FirstEvent > 0 {
		l.first.observe(o.At, level, o.FirstEvent)
	}
	if o.Step > 0 {
		l.step.observe(o.At, level, o.Step)
	}
}

// Expect returns what a request meets while the given number runs, itself included.
func (l *Learner) Expect(running, slots int) Expectation {
	if slots <= 0 {
		return Expectation{}
	}
	level := levelOf(running, slots)
	e := Expectation{FirstEvent: l.first.expect(level), Step: l.step.expect(level)}
	if excess := running - slots; excess > 0 { // queued requests wait for slots to become free
		e.FirstEvent += e.FirstEvent * time.Duration(excess) / time.Duration(slots)
	}
	return e
}

// Estimate returns the number of requests that the target takes well at the time now.
func (l *Learner) Estimate(now time.Time, slots int, need Need) Estimate {
	requests, reason := l.limit(now, max(1, slots), need)
	if requests != l.estimate.Requests {
		l.estimate.ChangedAt = now
	}
	l.estimate.Requests, l.estimate.Reason, l.estimate.ObservedAt = requests, reason, l.observedAt
	return l.estimate
}

// limit returns the largest number of requests whose expected times are within the need.
func (l *Learner) limit(now time.Time, slots int, need Need) (int, Reason) {
	if now.Sub(l.observedAt) > maxAge {
		return slots, ReasonUnknown
	}
	if l.failures.failing {
		return 1, ReasonFailures
	}
	if l.first.pace == 0 && l.step.pace == 0 {
		return slots, ReasonUnknown
	}
	reason := ReasonSlots
	for n := slots; n > 0; n-- {
		expected := l.Expect(n, slots)
		switch {
		case exceeds(expected.FirstEvent, need.FirstEvent):
			reason = ReasonFirstEvent
		case exceeds(expected.Step, need.EventGap):
			reason = ReasonEventGap
		default:
			return n, reason
		}
	}
	return 1, reason
}

func exceeds(expected, need time.Duration) bool {
	return need > 0 && float64(expected) > objectiveShare*float64(need)
}
