// Package eventstream splits streams of events, each a block of fields that a blank
// line ends.
package eventstream

import (
	"bytes"
	"strings"
)

// terminator ends each event of a stream.
var terminator = []byte("\n\n")

// Event is one event of a stream.
type Event struct {
	// ID is the event's number, empty without one.
	ID   string
	Data string
}

// CompleteLen returns the length of the whole events at the beginning of the stream.
func CompleteLen(stream []byte) int {
	last := bytes.LastIndex(stream, terminator)
	if last < 0 {
		return 0
	}
	return last + len(terminator)
}

// Parse returns the whole events of a stream.
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

// LastID returns the number of the last of the events, empty where none has one.
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
