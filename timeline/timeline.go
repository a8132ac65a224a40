// Package timeline records what a process does, for a time line over all
// processes: a bounded ring of events stamped by a hybrid logical clock, so that
// an event never sorts before its cause in another process.
package timeline

import (
	"slices"
	"sync"
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
func (c *Clock) Now() uint64 { return c.after(0) }

// Observe returns a value above remote and every earlier one.
func (c *Clock) Observe(remote uint64) uint64 { return c.after(remote) }

func (c *Clock) after(remote uint64) uint64 {
	wall := uint64(c.wall().UnixMilli()) << logicalBits
	for {
		last := c.last.Load()
		next := max(wall, last+1, remote+1)
		if c.last.CompareAndSwap(last, next) {
			return next
		}
	}
}

// WallMillis gives the milliseconds since the epoch in a clock value.
func WallMillis(clock uint64) int64 { return int64(clock >> logicalBits) }

// DefaultRingSize is the number of events that a process keeps.
const DefaultRingSize = 8192

// Ring keeps the newest events of one process. Its methods may be called at the
// same time.
type Ring struct {
	instance string
	clock    *Clock

	mu     sync.Mutex
	events []protocol.Event
	next   int
}

// NewRing returns a ring of size events.
func NewRing(instance string, clock *Clock, size int) *Ring {
	return &Ring{instance: instance, clock: clock, events: make([]protocol.Event, 0, size)}
}

// Clock returns the ring's clock.
func (r *Ring) Clock() *Clock { return r.clock }

// Add records an event. Fields are pairs of a key and a value.
func (r *Ring) Add(trace, name string, fields ...string) {
	e := protocol.Event{Clock: r.clock.Now(), Instance: r.instance, Trace: trace, Name: name}
	if len(fields) > 1 {
		e.Fields = make(map[string]string, len(fields)/2)
		for i := 0; i+1 < len(fields); i += 2 {
			e.Fields[fields[i]] = fields[i+1]
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// Events returns the events that args ask for, in order of their clocks.
func (r *Ring) Events(args protocol.EventsArgs) []protocol.Event {
	r.mu.Lock()
	all := slices.Clone(r.events)
	r.mu.Unlock()
	found := all[:0]
	for _, e := range all {
		if args.Trace != "" && e.Trace != args.Trace {
			continue
		}
		if WallMillis(e.Clock) >= args.SinceUnixMillis {
			found = append(found, e)
		}
	}
	Sort(found)
	return found
}

// Sort orders events by clock and, where clocks are equal, by instance.
func Sort(events []protocol.Event) {
	slices.SortStableFunc(events, func(a, b protocol.Event) int {
		switch {
		case a.Clock != b.Clock && a.Clock < b.Clock:
			return -1
		case a.Clock != b.Clock:
			return 1
		case a.Instance < b.Instance:
			return -1
		case a.Instance > b.Instance:
			return 1
		}
		return 0
	})
}
