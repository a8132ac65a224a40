// Package logtest records what a test's own process logs, for tests that look for
// the cause of a failure as an operator would.
package logtest

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/logs"
)

// flushTimeout bounds the writing of the last lines.
const flushTimeout = 5 * time.Second

// Recorder takes the lines of the process until End.
type Recorder struct {
	t      *testing.T
	text   bytes.Buffer
	writer *logs.Writer
}

// Start begins to record. It must be called outside a bubble of virtual time, and
// End after it.
func Start(t *testing.T) *Recorder {
	r := &Recorder{t: t}
	r.writer = logs.NewWriter(&r.text)
	r.writer.Install()
	return r
}

// Stop stops the recording; nothing may log after it.
func (r *Recorder) Stop() {
	klog.ClearLogger()
	r.writer.Close(flushTimeout)
	assert.Equal(r.t, r.writer.Dropped(), int64(0))
}

// Explain returns the lines that name the ID, as the command explain prints them.
func (r *Recorder) Explain(id string) []logs.Line {
	r.t.Helper()
	lines, err := logs.FindLines(bytes.NewReader(r.text.Bytes()), id)
	assert.NilError(r.t, err)
	logs.SortByTime(lines)
	return lines
}

// Last returns the last of the lines with the event, an empty one without any.
func Last(lines []logs.Line, event string) logs.Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Value("event") == event {
			return lines[i]
		}
	}
	return logs.Line{}
}
