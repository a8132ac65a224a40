package eventstream_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
)

// numbered returns one event for each ID; "-" stands for an event without an ID, and "#" for a
// comment.
func numbered(ids ...string) []byte {
	var events []byte
	for _, id := range ids {
		switch id {
		case "#":
			events = append(events, ": wait\n\n"...)
		case "-":
			events = append(events, "data: x\n\n"...)
		default:
			events = fmt.Appendf(events, "some-header: 2\nid: %s\ndata: x\n\n", id)
		}
	}
	return events
}

// TestEventsThatDoNotFollowAreFound guards against pieces that come twice, are left out or belong
// elsewhere in a stream that counts as sound.
func TestEventsThatDoNotFollowAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		after string
		ids   []string
		sound int
	}{
		"whole":                      {"", []string{"1", "2", "3"}, 3},
		"from zero":                  {"", []string{"0", "1", "2"}, 3},
		"comments between":           {"", []string{"#", "1", "#", "2"}, 4},
		"resumed":                    {"7", []string{"8", "9"}, 2},
		"events again":               {"", []string{"1", "2", "3", "2", "3"}, 3},
		"one event again":            {"", []string{"1", "1"}, 1},
		"an event left out":          {"", []string{"1", "3"}, 1},
		"the first left out":         {"", []string{"2", "3"}, 0},
		"resumed from the start":     {"7", []string{"1", "2"}, 0},
		"resumed one too early":      {"7", []string{"7", "8"}, 0},
		"resumed one too late":       {"7", []string{"9"}, 0},
		"an ID lost":                 {"", []string{"1", "-", "2"}, 1},
		"an ID spoiled":              {"", []string{"1", "x2", "3"}, 1},
		"a number that is too large": {"", []string{"1", "99999999999999999999"}, 1},
		"no IDs":                     {"", []string{"-", "-", "-"}, 3},
		"other IDs":                  {"", []string{"a", "b", "a"}, 3},
		"resumed after another ID":   {"a", []string{"b"}, 1},
	} {
		s := eventstream.After(c.after)
		assert.Equal(t, s.FollowingLen(numbered(c.ids...)), len(numbered(c.ids[:c.sound]...)), name)
	}
	var s eventstream.Sequence
	for i := 1; i <= 5; i++ {
		event := numbered(fmt.Sprint(i))
		assert.Equal(t, s.FollowingLen(event), len(event), "events that come one by one")
	}
	assert.Equal(t, s.FollowingLen(numbered("5")), 0)
}
