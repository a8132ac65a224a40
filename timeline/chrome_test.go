package timeline

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestWriteChrome checks that events of one millisecond keep their order, that
// each instance is a process, and that missing processes are named.
func TestWriteChrome(t *testing.T) {
	wall := time.UnixMilli(1_790_000_000_123)
	clock := NewClock(func() time.Time { return wall })
	var events []protocol.Event
	for i := range 4 {
		instance := []string{"a", "b"}[i%2]
		events = append(events, protocol.Event{Clock: clock.Now(), Instance: instance, Trace: "t", Name: "e", Fields: map[string]string{"k": "v"}})
	}
	var out strings.Builder
	assert.NilError(t, WriteChrome(&out, events, []string{"dead"}))
	var file chromeFile
	assert.NilError(t, json.Unmarshal([]byte(out.String()), &file))
	assert.DeepEqual(t, file.OtherData, chromeOtherData{Missing: []string{"dead"}, StartUnixMillis: wall.UnixMilli()})
	var names []string
	last, instants := -1.0, 0
	for _, e := range file.TraceEvents {
		if e.Phase == phaseMetadata {
			names = append(names, e.Name+"="+e.Args["name"])
			continue
		}
		assert.Assert(t, e.Micros > last)
		last = e.Micros
		assert.Equal(t, e.Process, instants%2+1)
		instants++
	}
	assert.Equal(t, instants, len(events))
	assert.DeepEqual(t, names, []string{"process_name=a", "thread_name=t", "process_name=b", "thread_name=t"})
}

func TestWriteChromeWithoutEvents(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, WriteChrome(&out, nil, nil))
	assert.Assert(t, strings.Contains(out.String(), `"traceEvents":[]`))
}
