package logs

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"
	"pgregory.net/rapid"
)

// TestLinesAreKeyValuePairs logs through klog and reads every line back.
func TestLinesAreKeyValuePairs(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.now = func() time.Time { return time.Unix(0, 0) }
	w.Install()
	t.Cleanup(klog.ClearLogger)
	klog.InfoS("request ended", "request", "9c41", "after", 1500*time.Millisecond, "why", "two words", "n", 3, "empty", "", "odd key", 1)
	klog.V(1).InfoS("not at this level")
	klog.ErrorS(errors.New(`a "quoted" reason`), "gone wrong", "at", "x=y")
	w.Close(time.Second)
	want := `time=1970-01-01T00:00:00.000000Z level=info event="request ended" request=9c41 after=1.5s why="two words" n=3 empty="" invalid_key=1` + "\n" +
		`time=1970-01-01T00:00:00.000000Z level=error event="gone wrong" at="x=y" error="a \"quoted\" reason"` + "\n"
	assert.Equal(t, out.String(), want)
	for text := range strings.Lines(want) {
		line, err := Parse("front-1 " + text)
		assert.NilError(t, err)
		assert.Assert(t, line.Value("event") != "")
	}
}

// TestParseReadsAnyValue checks that no value breaks its line.
func TestParseReadsAnyValue(t *testing.T) {
	w := &Writer{now: time.Now}
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.String().Draw(t, "value")
		if len(value) > maxValueBytes {
			t.Skip("longer than a line takes")
		}
		text := string(w.format("info", "event", nil, []any{"key", value, "next", 1}))
		assert.Equal(t, strings.Count(text, "\n"), 1)
		line, err := Parse(text)
		assert.NilError(t, err)
		assert.Equal(t, line.Value("key"), strings.ToValidUTF8(value, "\uFFFD"))
		assert.Assert(t, line.HasValue("1"))
	})
}

func TestParseRefusesOtherLines(t *testing.T) {
	for _, text := range []string{"", "no time here", `time=1 x`, `time=1 k="open`, `time=1 k="a"b=c`} {
		_, err := Parse(text)
		assert.Assert(t, err != nil, "%q", text)
	}
}

// stuck is a reader that has stopped.
type stuck struct{ release chan struct{} }

func (s stuck) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStoppedReaderBlocksNobody logs more than the buffer holds while nobody
// reads: all calls return, and what was dropped is counted.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	out := stuck{make(chan struct{})}
	w := NewWriter(out)
	s := &sink{writer: w}
	const surplus = 100
	for i := range bufferedLines + 1 + surplus {
		s.Info(0, fmt.Sprint("line ", i))
	}
	assert.Assert(t, w.Dropped() >= surplus-1 && w.Dropped() <= surplus+1, "%d", w.Dropped())
	assert.Equal(t, w.Waiting(), bufferedLines)
	begun := time.Now()
	w.Close(10 * time.Millisecond)
	assert.Assert(t, time.Since(begun) < 5*time.Second)
	close(out.release)
}

// TestDroppedLinesAreReported names the gap in the log itself.
func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{lines: make(chan []byte, 2), done: make(chan struct{}), now: time.Now}
	s := &sink{writer: w}
	for range 5 {
		s.Info(0, "line")
	}
	go w.run(&out)
	w.Close(time.Second)
	assert.Assert(t, strings.Contains(out.String(), `event="log lines dropped" lines=3`), out.String())
}

func TestSampling(t *testing.T) {
	kept := 0
	for i := range 16000 {
		if Sampled(fmt.Sprintf("%016x", i*7919)) {
			kept++
		}
	}
	assert.Assert(t, kept > 500 && kept < 2000, "%d", kept)
}
