package promises

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// TestTimelineShowsCausesFirst checks the hybrid logical clocks of entries and
// sidecars: many short requests fall into each millisecond, and none of their
// events may stand before its cause in another process.
func TestTimelineShowsCausesFirst(t *testing.T) {
	t.Parallel()
	layout := demo.DefaultLayout()
	layout.Engine.TokenTime = 0
	_, c := startInProcess(t, layout)
	for range 20 {
		burst(t, c, 8, 1, "short")
	}
	line, err := c.Timeline(t.Context(), protocol.EventsArgs{})
	assert.NilError(t, err)
	order := []string{"attempt sent", timeline.SlotGranted, "attempt admitted"}
	next := map[string]int{}
	admitted := map[string]bool{}
	whole := 0
	for _, e := range line.Events {
		attempt := e.Fields["attempt"]
		for place, name := range order {
			if e.Name != name {
				continue
			}
			assert.Equal(t, place, next[attempt], "%s of attempt %s stands before its cause", name, attempt)
			next[attempt]++
		}
		switch e.Name {
		case "attempt admitted":
			admitted[e.Trace] = true
		case "request ended":
			assert.Assert(t, admitted[e.Trace], "the end of %s stands before its attempt", e.Trace)
			whole++
		}
	}
	assert.Equal(t, whole, 160)
}
