// Package logs writes a process's log: one line of key=value pairs per event, to
// standard output. Logging never blocks: lines wait in a bounded buffer until a separate
// goroutine writes them, and lines that do not fit are dropped and counted. The lines
// are described in docs/OPERATIONS.md.
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
	// bufferedLines is the number of lines that may wait to be written.
	bufferedLines = 2048
	// maxValueBytes is the length to which a value in a line is cut.
	maxValueBytes = 256
	// sampleInterval sets the sampling of uneventful requests: the lines of about one in
	// sampleInterval requests are kept.
	sampleInterval = 16
	// timeLayout shows times to the microsecond, in UTC.
	timeLayout = "2006-01-02T15:04:05.000000Z"
)

// Sampled reports whether the lines of an uneventful request are kept. The result
// depends only on the request's ID, so that all processes keep the same requests and the
// lines of a kept request are complete.
func Sampled(id string) bool {
	h := fnv.New32a()
	_, _ = io.WriteString(h, id)
	return h.Sum32()%sampleInterval == 0
}

// Writer buffers lines and writes them in the background. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	dropped atomic.Int64
	written atomic.Int64
	done    chan struct{}
	now     func() time.Time
}

// NewWriter returns a writer to out. Close must be called to write the last lines.
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
			_, _ = out.Write(notice) // a failed write of the log cannot be logged
		}
		_, _ = out.Write(line)
		w.written.Add(1)
	}
}

// enqueue adds a line to the buffer, or drops it if the buffer is full.
func (w *Writer) enqueue(line []byte) {
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Waiting returns the number of lines waiting to be written.
func (w *Writer) Waiting() int { return len(w.lines) }

// Close writes the waiting lines, for at most limit. Nothing may be logged after Close.
func (w *Writer) Close(limit time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// format returns one line, with its newline.
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

// sanitizeKey returns the key, or "invalid_key" if it would not parse as a key.
func sanitizeKey(key any) string {
	text := fmt.Sprint(key)
	if text == "" || strings.ContainsAny(text, " =\"\n") {
		return "invalid_key"
	}
	return text
}

// appendValue appends a value, quoted if it could not be parsed otherwise.
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

// Install makes w the destination of klog, which leaves out messages above its own
// verbosity level.
func (w *Writer) Install() { klog.SetLogger(logr.New(&sink{writer: w})) }

// sink adapts a Writer to logr.
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
