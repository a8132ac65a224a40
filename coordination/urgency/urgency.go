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

// margin is the part of the expected time that an item must have left to count as
// one that can be done in time: below 1, since the time varies, and a slot that is
// spent on a late item loses less than an item that is given up too early.
const margin = 0.8

// Item is what the order depends on.
type Item struct {
	// Age is the time since the item's job was submitted, Due the age at which
	// its result is due, 0 if never.
	Age time.Duration
	Due time.Duration
	// Left is how long the item is expected to take from now on.
	Left time.Duration
	// Started is set once the item has some of its output.
	Started bool
	// Offset is the place of its job among all jobs.
	Offset int64
}

// InTime reports whether the item can be done by the time it is due.
func (i Item) InTime() bool {
	return i.Due == 0 || i.Age+time.Duration(float64(i.Left)*margin) <= i.Due
}

// Compare is negative where a goes before b.
func Compare(a, b Item) int {
	if a.InTime() != b.InTime() {
		if a.InTime() {
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
	if a.Started && a.InTime() {
		return cmp.Compare(a.Left, b.Left)
	}
	return cmp.Compare(a.Offset, b.Offset)
}

// newest is the weight of the newest observation in a Pace.
const newest = 0.2

// Pace learns how long items take, with the time that they spend waiting for
// slots once they are begun. The zero value knows nothing and expects nothing.
type Pace struct {
	// perEvent is in nanoseconds, perToken the events of a token of the size.
	perEvent  float64
	perToken  float64
	knowsItem bool
}

// Observe takes an item of the given size, in tokens, that brought so many
// events in the time took.
func (p *Pace) Observe(tokens int64, events int, took time.Duration) {
	if tokens <= 0 || events <= 0 {
		return
	}
	p.perEvent = p.mix(p.perEvent, float64(took)/float64(events))
	p.perToken = p.mix(p.perToken, float64(events)/float64(tokens))
	p.knowsItem = true
}

func (p *Pace) mix(old, seen float64) float64 {
	if !p.knowsItem {
		return seen
	}
	return (1-newest)*old + newest*seen
}

// Left returns how long an item of the given size takes that has brought so many
// events.
func (p *Pace) Left(tokens int64, events int) time.Duration {
	if !p.knowsItem {
		return 0
	}
	more := max(1, p.perToken*float64(tokens)-float64(events))
	return time.Duration(more * p.perEvent)
}
