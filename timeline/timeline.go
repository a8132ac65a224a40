// Package timeline records what a process does, for a time line over all
// processes: a bounded ring of events stamped by a hybrid logical clock, so that
// an event never sorts before its cause in another process.
package timeline

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Names of the events of a target's slots. Each has the fields attempt and
// target; SlotGranted has class too.
const (
	SlotGranted    = "slot granted"
	SlotWaiting    = "slot waiting"
	SlotFreed      = "slot freed"
	SlotLost       = "slot lost"
	BatchPreempted = "batch preempted"
	LongMoved      = "long work moved"
)

// logicalBits is the part of a clock value that counts events of one millisecond.
const logicalBits = 16

// Clock is a hybrid logical clock: milliseconds since the epoch and a counter.
// Its methods may be called at the same time.
type Clock struct {
	last atomic.Uint64
	wall func() time.Time
}

// NewClock returns a clock over the wall clock.
func NewClock(wall func() time.Time) *Clock { return &Clock{wall: wall} }

// Now returns a value above every earlier one.
func (c *Clock) Now() uint64 { return c.advance(0) }

// Observe returns a value above remote and every earlier one.
func (c *Clock) Observe(remote uint64) uint64 { return c.advance(remote) }

func (c *Clock) advance(remote uint64) uint64 {
	wall := uint64(c.wall().UnixMilli()) << logicalBits
	for {
		last := c.last.Load()
		next := max(wall, last+1, remote+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// Stamp sets the clock of records that have none yet.
func (c *Clock) Stamp(records []protocol.Record) {
	for i := range records {
		if records[i].Clock == 0 {
			records[i].Clock = c.Now()
		}
	}
}

// ClockFold is a fold that observes the clocks of records, so that what a process
// does after it has read a record never stands before the record's cause.
type ClockFold struct{ Clock *Clock }

// Apply implements follow.Fold.
func (w ClockFold) Apply(_ protocol.Position, rec *protocol.Record) {
	if rec.Clock > 0 {
		w.Clock.Observe(rec.Clock)
	}
}

// WallMillis gives the milliseconds since the epoch in a clock value.
func WallMillis(clock uint64) int64 { return int64(clock >> logicalBits) }

// Sort orders events by clock and, where clocks are equal, by instance.
func Sort(events []protocol.Event) { slices.SortStableFunc(events, compareEvents) }

func compareEvents(a, b protocol.Event) int {
	return cmp.Or(cmp.Compare(a.Clock, b.Clock), cmp.Compare(a.Instance, b.Instance))
}
