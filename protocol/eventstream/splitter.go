package eventstream

import (
	"bytes"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// Splitter collects the bytes of a stream and returns them as complete events. It looks
// at each byte once, and holds no more than one incomplete event of MaxEventBytes.
type Splitter struct {
	// pending holds the bytes after the last complete event, behind the returned ones.
	pending  []byte
	returned int
}

// Add adds bytes of the stream and returns the events that they complete. The events are
// valid until the next call. It fails with ErrOversizedEvent.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.pending = append(s.pending[:0], s.pending[s.returned:]...)
	s.returned = 0
	searched := max(0, len(s.pending)-len(terminator)+1)
	s.pending = append(s.pending, p...)
	if last := bytes.LastIndex(s.pending[searched:], terminator); last >= 0 {
		s.returned = searched + last + len(terminator)
	}
	if size := len(s.pending) - s.returned; size > fleet.MaxEventBytes {
		return nil, fleet.ErrOversizedEvent.New("event exceeds %d bytes", fleet.MaxEventBytes)
	}
	return s.pending[:s.returned], nil
}

// Rest returns the bytes after the last complete event.
func (s *Splitter) Rest() []byte { return s.pending[s.returned:] }

// EndsWithinEvent reports whether the stream has broken off if it ends here: bytes other
// than white space follow the last complete event.
func (s *Splitter) EndsWithinEvent() bool { return len(bytes.TrimSpace(s.Rest())) > 0 }
