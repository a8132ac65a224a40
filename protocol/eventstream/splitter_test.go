package eventstream

import (
	"bytes"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestSplitter adds a stream in pieces of every size, so that the blank line between two
// events is split too.
func TestSplitter(t *testing.T) {
	whole := CompleteLen([]byte(stream))
	for size := 1; size <= len(stream); size++ {
		var s Splitter
		var got bytes.Buffer
		for rest := []byte(stream); len(rest) > 0; {
			n := min(size, len(rest))
			events, err := s.Add(rest[:n])
			assert.NilError(t, err)
			got.Write(events)
			rest = rest[n:]
		}
		assert.Equal(t, got.String(), stream[:whole], "pieces of %d bytes", size)
		assert.Equal(t, string(s.Rest()), stream[whole:], "pieces of %d bytes", size)
	}
}

// TestSplitterLimitsEvents checks that the size of an event is limited, and the size of a
// stream is not.
func TestSplitterLimitsEvents(t *testing.T) {
	var s Splitter
	event := []byte("data: " + strings.Repeat("x", 8<<10) + "\n\n")
	for range 2 * fleet.MaxEventBytes / len(event) {
		_, err := s.Add(event)
		assert.NilError(t, err)
	}
	var err error
	for n := 0; err == nil && n <= 2*fleet.MaxEventBytes; n += len(event) {
		_, err = s.Add(bytes.Repeat([]byte("x"), len(event)))
	}
	assert.Assert(t, errorx.IsOfType(err, fleet.ErrOversizedEvent), "%v", err)
}

// TestHasContent checks that comments and blank lines are no content.
func TestHasContent(t *testing.T) {
	for events, want := range map[string]bool{
		"": false, ": wait\n\n": false, "\n\n": false, "event: ping\n\n": false,
		": wait\n\nid: 3\n\n": true, "data: x\n\n": true,
	} {
		assert.Equal(t, HasContent([]byte(events)), want, "%q", events)
	}
}
