// Package logs writes a process's log: a line of key=value pairs for each event,
// to standard output. Writing never blocks: lines wait in a bounded buffer for a
// writer of their own, and what does not fit is dropped and counted. The page
// docs/OPERATIONS.md says what the lines tell.
package logs

import (
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"k8s.io/klog/v2"
)

const (
	// bufferedLines bounds the lines that wait for the writer.
	bufferedLines = 2048
	// maxValueBytes bounds a value in a line.
	maxValueBytes = 256
	// sampleInterval is how many requests that nothing befell share one whose lines are
	// kept.
	sampleInterval = 16
	// timeLayout shows times to the microsecond, in UTC.
	timeLayout = "2006-01-02T15:04:05.000000Z"
)

// Sampled reports whether the lines of a request that nothing befell are kept.
// All processes agree on it, so that a kept request has all its lines.
func Sampled(id string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return h.Sum32()%sampleInterval == 0
}

// Writer takes lines and writes them when it can. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	done    chan struct{}
	now     func() time.Time
}

// NewWriter returns a writer to out. Close must be called for the last lines to
// be written.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, bufferedLines), done: make(chan struct{}), now: time.Now}
	go w.run(out)
	return w
}

func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped > reported {
			notice := w.format("warning", "log lines dropped", nil, []any{"lines", dropped - reported})
			reported = dropped
			_, _ = out.Write(notice) // nobody is left to tell
		}
		_, _ = out.Write(line)
		w.written.Add(1)
	}
}

// enqueue hands a line over, or drops it.
func (w *Writer) enqueue(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Waiting returns the number of lines that wait to be written.
func (w *Writer) Waiting() int { return len(w.lines) }

// Close writes what waits, for at most the given time. No line may be put after it.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// format makes one line.
func (w *Writer) format(level, event string, with, pairs []any) []byte {
	line := make([]byte, 0, 256)
	line = append(line, "time="...)
	line = w.now().UTC().AppendFormat(line, timeLayout)
	line = append(line, " level="...)
	line = append(line, level...)
	line = append(line, " event="...)
	line = strconv.AppendQuote(line, event)
	line = appendPairs(line, with)
	line = appendPairs(line, pairs)
	return append(line, '\n')
}

func appendPairs(line []byte, pairs []any) []byte {
	for i := 0; i+1 < len(pairs); i += 2 {
		line = append(line, ' ')
		line = append(line, sanitizeKey(pairs[i])...)
		line = append(line, '=')
		line = appendValue(line, pairs[i+1])
	}
	return line
}

// sanitizeKey returns a key without what would end it.
func sanitizeKey(key any) string {
	text := fmt.Sprint(key)
	if text == "" || strings.ContainsAny(text, " =\"\n") {
		return "invalid_key"
	}
	return text
}

// appendValue writes a value, in quotes where it would end early without.
func appendValue(line []byte, value any) []byte {
	switch v := value.(type) {
	case string:
		return appendText(line, v)
	case int:
		return strconv.AppendInt(line, int64(v), 10)
	case int64:
		return strconv.AppendInt(line, v, 10)
	case bool:
		return strconv.AppendBool(line, v)
	case time.Duration:
		return append(line, v.Round(time.Microsecond).String()...)
	case error:
		return appendText(line, v.Error())
	default:
		return appendText(line, fmt.Sprint(v))
	}
}

func appendText(line []byte, text string) []byte {
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes]
	}
	if text == "" || strings.ContainsFunc(text, needsQuotes) {
		return strconv.AppendQuote(line, text)
	}
	return append(line, text...)
}

func needsQuotes(r rune) bool {
	return r <= ' ' || r == '"' || r == '=' || r == '\\' || r > '~'
}

// Install makes the writer take what the process logs through klog, which leaves
// out what is above its own level of detail.
func (w *Writer) Install() { klog.SetLogger(logr.New(&sink{writer: w})) }

// sink translates from the logging library.
type sink struct {
	writer *Writer
	values []any
}

// Init implements logr.LogSink.
func (s *sink) Init(logr.RuntimeInfo) {}

// Enabled implements logr.LogSink.
func (s *sink) Enabled(int) bool { return true }

// Info implements logr.LogSink.
func (s *sink) Info(_ int, event string, pairs ...any) {
	s.writer.enqueue(s.writer.format("info", event, s.values, pairs))
}

// Error implements logr.LogSink.
func (s *sink) Error(err error, event string, pairs ...any) {
	if err != nil {
		pairs = append(pairs, "error", err)
	}
	s.writer.enqueue(s.writer.format("error", event, s.values, pairs))
}

// WithValues implements logr.LogSink.
func (s *sink) WithValues(pairs ...any) logr.LogSink {
	with := append(append([]any{}, s.values...), pairs...)
	return &sink{writer: s.writer, values: with}
}

// WithName implements logr.LogSink.
func (s *sink) WithName(name string) logr.LogSink { return s.WithValues("logger", name) }
