// Package urgency orders batch items that have deadlines.
//
// It is designed for overload: if more work than the slots can do were served in the
// order of arrival, every item would be finished shortly after its deadline. Items
// that can still meet their deadline go before those that can't, started items first,
// and among these the ones with the least remaining time, so that slots are spent on
// items that finish in time. Items that can no longer meet their deadline run in
// slots that nothing else needs.
package urgency

import (
	"cmp"
	"time"
)

// durationMargin is the fraction of the expected remaining time that must fit before
// the deadline for an item to count as able to meet it. It is below 1 since the time
// varies, and giving up an item too early costs more than a slot spent on a late one.
const durationMargin = 0.8

// Item holds the properties of a batch item that determine its order.
type Item struct {
	// Age is the time since the item's job was submitted. Due is the age at which the
	// result is due, or 0 if it has no deadline.
	Age time.Duration
	Due time.Duration
	// Remaining is the expected time until the item is finished.
	Remaining time.Duration
	// Started is true once the item has produced some of its output.
	Started bool
	// JobOffset is the log offset of the item's job, by which jobs are ordered.
	JobOffset int64
}

// CanMeetDeadline reports whether the item can be finished by the time it is due.
func (i Item) CanMeetDeadline() bool {
	return i.Due == 0 || i.Age+time.Duration(float64(i.Remaining)*durationMargin) <= i.Due
}

// Compare returns a negative number if a goes before b, and a positive one if b goes
// before a.
func Compare(a, b Item) int {
	if a.CanMeetDeadline() != b.CanMeetDeadline() {
		if a.CanMeetDeadline() {
			return -1
		}
		return 1
	}
	if a.Started != b.Started {
		if a.Started {
			return -1
		}
		return 1
	}
	if a.Started && a.CanMeetDeadline() {
		return cmp.Compare(a.Remaining, b.Remaining)
	}
	return cmp.Compare(a.JobOffset, b.JobOffset)
}

// newestWeight is the weight of the newest observation in a DurationEstimator.
const newestWeight = 0.2

// DurationEstimator estimates how long items take, including the time that they spend
// waiting for slots once they have started. The zero value has no observations and
// estimates 0.
type DurationEstimator struct {
	// nanosPerEvent is the average time per event in nanoseconds, eventsPerToken the
	// average number of events per token of an item's size.
	nanosPerEvent  float64
	eventsPerToken float64
	hasSample      bool
}

// Observe adds an observation of an item with the given size in tokens that produced
// the given number of events in the time took.
func (e *DurationEstimator) Observe(tokens int64, events int, took time.Duration) {
	if tokens <= 0 || events <= 0 {
		return
	}
	e.nanosPerEvent = e.average(e.nanosPerEvent, float64(took)/float64(events))
	e.eventsPerToken = e.average(e.eventsPerToken, float64(events)/float64(tokens))
	e.hasSample = true
}

func (e *DurationEstimator) average(old, seen float64) float64 {
	if !e.hasSample {
		return seen
	}
	return (1-newestWeight)*old + newestWeight*seen
}

// Remaining returns the expected time until an item of the given size in tokens is
// finished that has produced the given number of events.
func (e *DurationEstimator) Remaining(tokens int64, events int) time.Duration {
	if !e.hasSample {
		return 0
	}
	remainingEvents := max(1, e.eventsPerToken*float64(tokens)-float64(events))
	return time.Duration(remainingEvents * e.nanosPerEvent)
}
