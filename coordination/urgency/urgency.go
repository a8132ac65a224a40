// Package urgency orders batch items that are due at some time.
//
// It answers more work than there are slots: served in the order of arrival,
// every item would then be done shortly after it was due. Items that can still be
// done in time go before those that can't, started ones first and among these
// the ones with the least left, so that slots are spent on items that count.
// What can't be done in time any more runs in slots that nothing else needs.
package urgency

import (
	"cmp"
	"time"
)

// durationMargin is the part of the expected time that an item must have left to count as
// one that can be done in time: below 1, since the time varies, and a slot that is
// spent on a late item loses less than an item that is given up too early.
const durationMargin = 0.8

// Item is what the order depends on.
type Item struct {
	// Age is the time since the item's job was submitted, Due the age at which
	// its result is due, 0 if never.
	Age time.Duration
	Due time.Duration
	// Remaining is how long the item is expected to take from now on.
	Remaining time.Duration
	// Started is set once the item has some of its output.
	Started bool
	// JobOffset is the place of its job among all jobs.
	JobOffset int64
}

// CanMeetDeadline reports whether the item can be done by the time it is due.
func (i Item) CanMeetDeadline() bool {
	return i.Due == 0 || i.Age+time.Duration(float64(i.Remaining)*durationMargin) <= i.Due
}

// Compare is negative where a goes before b.
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

// newestWeight is the weight of the newest observation in a Pace.
const newestWeight = 0.2

// DurationEstimator learns how long items take, with the time that they spend waiting for
// slots once they are begun. The zero value knows nothing and expects nothing.
type DurationEstimator struct {
	// nanosPerEvent is in nanoseconds, perToken the events of a token of the size.
	nanosPerEvent  float64
	eventsPerToken float64
	hasSample      bool
}

// Observe takes an item of the given size, in tokens, that brought so many
// events in the time took.
func (p *DurationEstimator) Observe(tokens int64, events int, took time.Duration) {
	if tokens <= 0 || events <= 0 {
		return
	}
	p.nanosPerEvent = p.average(p.nanosPerEvent, float64(took)/float64(events))
	p.eventsPerToken = p.average(p.eventsPerToken, float64(events)/float64(tokens))
	p.hasSample = true
}

func (p *DurationEstimator) average(old, seen float64) float64 {
	if !p.hasSample {
		return seen
	}
	return (1-newestWeight)*old + newestWeight*seen
}

// Remaining returns how long an item of the given size takes that has brought so many
// events.
func (p *DurationEstimator) Remaining(tokens int64, events int) time.Duration {
	if !p.hasSample {
		return 0
	}
	more := max(1, p.eventsPerToken*float64(tokens)-float64(events))
	return time.Duration(more * p.nanosPerEvent)
}
