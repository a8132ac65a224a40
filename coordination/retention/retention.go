// Package retention preserves what is still needed from log entries that are about
// to expire. It appends snapshots of the folded state, and carries over the bodies
// of records that callers may still read: it appends them again, as carry records.
// The decisions are functions of the folded state and the time.
package retention

import (
	"slices"
	"time"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

// Params are the retention times.
type Params struct {
	// Retention is how long the log keeps an entry; zero means forever.
	Retention time.Duration
	// KeepResults is how long finished work can be read; zero means forever.
	KeepResults time.Duration
}

// Divisors of the log's retention.
const (
	// snapshotDivisor gives the age of the newest snapshot at which the next is due.
	snapshotDivisor = 8
	// carryDivisor gives the age at which a body is carried over.
	carryDivisor = 2
	// idleSnapshotDivisor gives the age of the newest snapshot at which the next is
	// due although nothing has changed.
	idleSnapshotDivisor = 4
)

// SnapshotDue reports whether a snapshot must be written. next is the first offset
// that is not folded. changed is false if nothing but snapshots was appended since
// the newest one; then the next one is due only before the newest one expires.
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

// CarryBefore returns the offset before which every body that is still needed must
// be carried over, or zero if none must be. An entry between two marks may be as
// old as the first of them. Entries after the newest mark are left to the next
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

// ForgetBefore returns the offset before which finished work may be dropped from
// the state, or zero if none may be.
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

// DueCarries returns the needed positions whose bodies are now located before an
// offset, in the order of their current locations.
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
