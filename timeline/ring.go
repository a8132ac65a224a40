package timeline

import (
	"slices"
	"strings"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// DefaultRingSize is the number of events that a process keeps.
	DefaultRingSize = 8192
	// maxFieldBytes is the maximum size of a field's value in bytes; longer values are
	// truncated.
	maxFieldBytes = 128
)

// Ring is a ring buffer of the newest events of one process. It is safe for
// concurrent use.
type Ring struct {
	instance string
	clock    *Clock

	mu     sync.Mutex
	events []protocol.Event
	next   int
}

// NewRing returns a ring that holds size events.
func NewRing(instance string, clock *Clock, size int) *Ring {
	return &Ring{instance: instance, clock: clock, events: make([]protocol.Event, 0, size)}
}

// Clock returns the ring's clock.
func (r *Ring) Clock() *Clock { return r.clock }

// Add records an event. fields are alternating keys and values.
func (r *Ring) Add(trace, name string, fields ...string) {
	r.AddAt(r.clock.Now(), trace, name, fields...)
}

// AddAt records an event at an earlier value of the clock. It is for events that stand
// for a record of the log, with the record's clock: other processes may have acted on
// the record before this process knows whether it was appended.
func (r *Ring) AddAt(clock uint64, trace, name string, fields ...string) {
	e := protocol.Event{Clock: clock, Instance: r.instance, Trace: truncate(trace), Name: name}
	if len(fields) > 1 {
		e.Fields = make(map[string]string, len(fields)/2)
		for i := 0; i+1 < len(fields); i += 2 {
			e.Fields[fields[i]] = truncate(fields[i+1])
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

// truncate returns a copy of the first bytes of a long value, so that the ring does
// not keep the whole value in memory.
func truncate(value string) string {
	if len(value) <= maxFieldBytes {
		return value
	}
	return strings.Clone(value[:maxFieldBytes])
}

// Events returns the events that args select, ordered by clock, and whether some were
// omitted because of the limit.
func (r *Ring) Events(args protocol.EventsArgs) ([]protocol.Event, bool) {
	r.mu.Lock()
	all := slices.Clone(r.events)
	r.mu.Unlock()
	attempts := traceAttempts(all, args.Trace)
	found := all[:0]
	for _, e := range all {
		if args.Trace != "" && e.Trace != args.Trace && !attempts[e.Fields[attemptField]] {
			continue
		}
		if WallMillis(e.Clock) >= args.SinceUnixMillis {
			found = append(found, e)
		}
	}
	Sort(found)
	if args.Limit > 0 && len(found) > args.Limit {
		return found[len(found)-args.Limit:], true
	}
	return found, false
}

// The fields with the ID of an attempt. The attempt of a batch item is its lease.
const (
	attemptField = "attempt"
	leaseField   = "lease"
)

// traceAttempts returns the attempts of a trace. Events of a target's slots have no
// trace, only an attempt.
func traceAttempts(events []protocol.Event, trace string) map[string]bool {
	attempts := map[string]bool{}
	for _, e := range events {
		if trace == "" || e.Trace != trace {
			continue
		}
		for _, field := range []string{attemptField, leaseField} {
			if id := e.Fields[field]; id != "" {
				attempts[id] = true
			}
		}
	}
	return attempts
}
