package logs

import (
	"strconv"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ErrInvalidLine is the type of errors about lines that this package did not write.
var ErrInvalidLine = protocol.Errors.NewType("log_line")

// Pair is a key and its value in a line.
type Pair struct {
	Key   string
	Value string
}

// Line is a parsed log line.
type Line struct {
	Text  string
	Pairs []Pair
}

// Value returns the first value of the key, or "" if the line does not have the key.
func (l Line) Value(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// HasValue reports whether any key of the line has the value text.
func (l Line) HasValue(text string) bool {
	for _, p := range l.Pairs {
		if p.Value == text {
			return true
		}
	}
	return false
}

// Parse parses a line. Text before its time, such as a prefix added by a log collector,
// is skipped. It fails with ErrInvalidLine.
func Parse(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, ErrInvalidLine.New("line has no time")
	}
	line := Line{Text: text}
	rest := strings.TrimSuffix(text[start:], "\n")
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, ErrInvalidLine.New("expected key=value at %q", rest)
		}
		value, tail, err := cutValue(after)
		if err != nil {
			return Line{}, err
		}
		line.Pairs = append(line.Pairs, Pair{Key: key, Value: value})
		rest = strings.TrimPrefix(tail, " ")
		if rest == tail && tail != "" {
			return Line{}, ErrInvalidLine.New("expected a space at %q", tail)
		}
	}
	return line, nil
}

// cutValue returns the value at the start of text and the text after it.
func cutValue(text string) (value, rest string, err error) {
	if !strings.HasPrefix(text, `"`) {
		end := strings.IndexByte(text, ' ')
		if end < 0 {
			return text, "", nil
		}
		return text[:end], text[end:], nil
	}
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		return "", "", ErrInvalidLine.Wrap(err, "quoted value")
	}
	value, err = strconv.Unquote(quoted)
	if err != nil {
		return "", "", ErrInvalidLine.Wrap(err, "quoted value")
	}
	return value, text[len(quoted):], nil
}
