// Package eventstream splits event streams into events. An event is a block of
// fields that ends with a blank line.
package eventstream

import (
	"bytes"
	"strings"
)

// terminator ends each event of a stream.
var terminator = []byte("\n\n")

// Event is one event of a stream.
type Event struct {
	// ID is the event's ID, empty if it has none.
	ID   string
	Data string
}

// Empty reports whether the event has neither ID nor data, like a comment.
func (e Event) Empty() bool { return e.ID == "" && e.Data == "" }

// CompleteLen returns the length of the complete events at the start of the stream.
func CompleteLen(stream []byte) int {
	last := bytes.LastIndex(stream, terminator)
	if last < 0 {
		return 0
	}
	return last + len(terminator)
}

// Parse returns the complete events of a stream.
func Parse(stream []byte) []Event {
	var events []Event
	for {
		block, rest, found := bytes.Cut(stream, terminator)
		if !found {
			return events
		}
		events = append(events, parseBlock(string(block)))
		stream = rest
	}
}

// HasContent reports whether any of the complete events has an ID or data.
func HasContent(events []byte) bool {
	for _, field := range [][]byte{[]byte("id:"), []byte("data:")} {
		if bytes.HasPrefix(events, field) || bytes.Contains(events, append([]byte("\n"), field...)) {
			return true
		}
	}
	return false
}

// LastID returns the last event ID in the events, empty if none has an ID.
func LastID(events []byte) string {
	text := string(events)
	at := strings.LastIndex(text, "\nid:")
	if at < 0 {
		if !strings.HasPrefix(text, "id:") {
			return ""
		}
		at = -1
	}
	line, _, _ := strings.Cut(text[at+1:], "\n")
	return strings.TrimSpace(strings.TrimPrefix(line, "id:"))
}

func parseBlock(block string) Event {
	var e Event
	var data []string
	for line := range strings.SplitSeq(block, "\n") {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch name {
		case "id":
			e.ID = value
		case "data":
			data = append(data, value)
		}
	}
	e.Data = strings.Join(data, "\n")
	return e
}
