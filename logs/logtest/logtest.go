// Package logtest records the log of a test's own process, for tests that check whether
// an operator can find the cause of a failure in the log.
package logtest

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/logs"
)

// flushTimeout is the time limit for writing the last lines.
const flushTimeout = 5 * time.Second

// Recorder records the log lines of the process until Stop.
type Recorder struct {
	t      *testing.T
	text   bytes.Buffer
	writer *logs.Writer
}

// Start starts recording. It must be called outside a synctest bubble, and Stop after
// the bubble has ended.
func Start(t *testing.T) *Recorder {
	r := &Recorder{t: t}
	r.writer = logs.NewWriter(&r.text)
	r.writer.Install()
	return r
}

// Stop ends the recording; nothing may be logged after it.
func (r *Recorder) Stop() {
	klog.ClearLogger()
	r.writer.Close(flushTimeout)
	assert.Equal(r.t, r.writer.Dropped(), int64(0))
}

// Explain returns the lines in which a value is the ID, sorted as the command explain
// prints them.
func (r *Recorder) Explain(id string) []logs.Line {
	r.t.Helper()
	lines, err := logs.FindLines(bytes.NewReader(r.text.Bytes()), id)
	assert.NilError(r.t, err)
	logs.SortByTime(lines)
	return lines
}

// Last returns the last of the lines with the event, or an empty line if there is none.
func Last(lines []logs.Line, event string) logs.Line {
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Value("event") == event {
			return lines[i]
		}
	}
	return logs.Line{}
}
