package eventstream

import (
	"bytes"
	"strconv"
)

// Sequence checks that the events of a stream follow each other. A stream whose first event has a
// number for an ID is numbered: each further event that is no comment must have the next number. A
// faulty target may send events again, leave some out or go back. Streams whose first event has
// another ID or none are not checked. The zero value is the start of a stream, whose first number
// is 0 or 1.
type Sequence struct {
	last  int64
	state sequenceState
}

type sequenceState int

const (
	// sequenceNew means that there was no event yet.
	sequenceNew sequenceState = iota
	// sequenceNumbered means that last is the number of the last event.
	sequenceNumbered
	// sequenceUnchecked means that the events have no numbers.
	sequenceUnchecked
)

// After returns the sequence of a stream that goes on after the event with the given ID, empty
// for the start of a stream.
func After(id string) Sequence {
	if id == "" {
		return Sequence{}
	}
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return Sequence{state: sequenceUnchecked}
	}
	return Sequence{last: number, state: sequenceNumbered}
}

// FollowingLen returns the length of those complete events at the start of the given ones that
// follow each other. It is less than the length of all if the stream is faulty.
func (s *Sequence) FollowingLen(events []byte) int {
	for rest := events; ; {
		block, after, found := bytes.Cut(rest, terminator)
		if !found {
			return len(events)
		}
		if !s.follows(block) {
			return len(events) - len(rest)
		}
		rest = after
	}
}

var (
	idField   = []byte("id:")
	dataField = []byte("data:")
)

// follows reports whether the event follows the last one, and takes it over if it does.
func (s *Sequence) follows(block []byte) bool {
	id, hasContent := findID(block)
	if !hasContent || s.state == sequenceUnchecked {
		return true
	}
	number, err := strconv.ParseInt(string(id), 10, 64)
	if s.state == sequenceNew && err != nil {
		s.state = sequenceUnchecked
		return true
	}
	isNext := number == s.last+1 || s.state == sequenceNew && number == 0
	if err != nil || !isNext {
		return false
	}
	s.last, s.state = number, sequenceNumbered
	return true
}

// findID returns the event's ID, empty if it has none, and whether the event has an ID or data.
func findID(block []byte) (id []byte, hasContent bool) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		switch value, isID := bytes.CutPrefix(line, idField); {
		case isID:
			id, hasContent = bytes.TrimSpace(value), true
		case bytes.HasPrefix(line, dataField):
			hasContent = true
		}
	}
	return id, hasContent
}
