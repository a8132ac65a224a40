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
	// maxFieldBytes bounds one value of an event's fields, in bytes; the rest is
	// left out.
	maxFieldBytes = 128
)

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
	r.AddAt(r.clock.Now(), trace, name, fields...)
}

// AddAt records an event at an earlier value of the clock: that of the record in
// the log that others may have acted on before this process knows its fate.
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

// truncate copies the first bytes of a long value, so that the ring does not
// hold the whole.
func truncate(value string) string {
	if len(value) <= maxFieldBytes {
		return value
	}
	return strings.Clone(value[:maxFieldBytes])
}

// Events returns the events that args ask for, in order of their clocks, and
// whether their limit left some out.
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

// Fields that name an attempt. The lease of a batch item is its attempt.
const (
	attemptField = "attempt"
	leaseField   = "lease"
)

// traceAttempts returns the attempts of a trace: events of a target's slots name
// only these.
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
