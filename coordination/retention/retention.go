// Package retention decides what must be written to the log again before it
// expires: snapshots of the folded state, and the bodies of records that callers
// may still read. The decisions are functions of the folded state and the time.
package retention

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// Params are the times that the decisions keep to.
type Params struct {
	// Retention is how long the log keeps an entry; zero means for ever.
	Retention time.Duration
	// KeepResults is how long finished work can be read.
	KeepResults time.Duration
}

// Parts of the retention after which a snapshot is due, a body is carried over,
// and state is written again although nothing changed.
const (
	snapshotDivisor     = 8
	carryDivisor        = 2
	idleSnapshotDivisor = 4
)

// SnapshotDue reports whether a snapshot must be written. next is the first
// offset not folded. A stream in which only snapshots were added since the
// newest one gets another only before that one expires.
func (p Params) SnapshotDue(now time.Time, marks []state.Mark, next uint64, changed bool) bool {
	if next <= 1 || p.Retention <= 0 {
		return false
	}
	if len(marks) == 0 {
		return true
	}
	age := now.Sub(time.UnixMilli(marks[len(marks)-1].UnixMillis))
	if changed {
		return age >= p.Retention/snapshotDivisor
	}
	return age >= p.Retention/idleSnapshotDivisor
}

// CarryBefore returns the offset before which every body that is still needed
// must be carried over, zero where none must. An entry between two marks may be
// as old as the first of them. Entries after the newest mark wait for the next
// snapshot, which is due long before they expire.
func (p Params) CarryBefore(now time.Time, marks []state.Mark) uint64 {
	if p.Retention <= 0 {
		return 0
	}
	var offset uint64
	for i, m := range marks {
		if now.Sub(time.UnixMilli(m.UnixMillis)) < p.Retention/carryDivisor {
			break
		}
		offset = marks[min(i+1, len(marks)-1)].Next
	}
	return offset
}

// ForgetBefore returns the offset before which finished work may be forgotten,
// zero where none may.
func (p Params) ForgetBefore(now time.Time, marks []state.Mark) uint64 {
	if p.KeepResults <= 0 {
		return 0
	}
	var offset uint64
	for _, m := range marks {
		// Every entry before the mark is at least as old as the mark.
		if now.Sub(time.UnixMilli(m.UnixMillis)) >= p.KeepResults {
			offset = m.Next
		}
	}
	return offset
}

// DueCarries returns the needed positions whose bodies are older than an offset, in
// order of where they can be read now.
func DueCarries(needed []protocol.Position, locate func(protocol.Position) protocol.Position, before uint64) []protocol.Position {
	var due []protocol.Position
	for _, original := range needed {
		if locate(original).Offset() < before {
			due = append(due, original)
		}
	}
	slices.SortFunc(due, func(a, b protocol.Position) int {
		if locate(a) < locate(b) {
			return -1
		}
		return 1
	})
	return due
}
