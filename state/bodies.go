package state

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// Mark says that every entry before Next was in the log at a time.
type Mark struct {
	Next uint64
	// UnixMillis is in milliseconds since the epoch.
	UnixMillis int64
}

// maxMarks is the number of marks that a fold remembers.
const maxMarks = 4096

// Bodies folds where the bodies of records can be read: at their original
// position, or at the newest carry of it. Its marks, one for each snapshot,
// bound the age of every entry.
type Bodies struct {
	mu    sync.RWMutex
	moved map[protocol.Position]protocol.Position
	marks []Mark
}

// NewBodies returns a fold without carries.
func NewBodies() *Bodies { return &Bodies{moved: map[protocol.Position]protocol.Position{}} }

// Locate returns the position at which the body of the original can be read.
func (f *Bodies) Locate(original protocol.Position) protocol.Position {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return max(original, f.moved[original])
}

// Marks returns the marks in order.
func (f *Bodies) Marks() []Mark {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return slices.Clone(f.marks)
}

// Apply folds the record at position pos.
func (f *Bodies) Apply(pos protocol.Position, rec *protocol.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case rec.Carry != nil:
		if rec.Carry.Original < pos {
			f.moved[rec.Carry.Original] = pos
		}
	case rec.Snapshot != nil:
		f.addMark(rec.Snapshot)
	case rec.Forget != nil:
		f.dropExpired(rec.Forget)
	}
}

// addMark takes the last chunk of a snapshot. Marks never go back.
func (f *Bodies) addMark(c *protocol.SnapshotChunk) {
	if c.Index != c.Chunks-1 {
		return
	}
	if n := len(f.marks); n > 0 && (f.marks[n-1].Next >= c.Next || f.marks[n-1].UnixMillis > c.UnixMillis) {
		return
	}
	f.marks = append(f.marks, Mark{Next: c.Next, UnixMillis: c.UnixMillis})
	if len(f.marks) > maxMarks {
		f.marks = f.marks[1:]
	}
}

// dropExpired drops what points to entries that have expired, and the marks that are
// older than all that is remembered.
func (f *Bodies) dropExpired(r *protocol.Forget) {
	maps.DeleteFunc(f.moved, func(_, at protocol.Position) bool { return at.Offset() < r.Expired })
	for len(f.marks) > 1 && f.marks[1].Next <= r.Before.Offset() {
		f.marks = f.marks[1:]
	}
}

type bodiesSnapshot struct {
	Moved []movedBody
	Marks []Mark
}

type movedBody struct {
	Original protocol.Position `msgpack:"o"`
	At       protocol.Position `msgpack:"a"`
}

// SnapshotName names the fold in a snapshot.
func (f *Bodies) SnapshotName() string { return "bodies" }

// Snapshot encodes the fold's state.
func (f *Bodies) Snapshot() ([]byte, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	s := bodiesSnapshot{Marks: f.marks}
	for original, at := range f.moved {
		s.Moved = append(s.Moved, movedBody{original, at})
	}
	sortBy(s.Moved, func(a, b movedBody) int { return cmp.Compare(a.Original, b.Original) })
	return encodeState(&s)
}

// Restore replaces the fold's state by a snapshot.
func (f *Bodies) Restore(data []byte) error {
	var s bodiesSnapshot
	if err := decodeState(data, &s); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.marks = s.Marks
	f.moved = make(map[protocol.Position]protocol.Position, len(s.Moved))
	for _, m := range s.Moved {
		f.moved[m.Original] = m.At
	}
	return nil
}
