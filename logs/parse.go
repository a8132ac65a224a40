package logs

import (
	"strconv"
	"strings"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// ErrInvalidLine means that a line is none of this package's.
var ErrInvalidLine = protocol.Errors.NewType("log_line")

// Pair is one key and value of a line.
type Pair struct {
	Key   string
	Value string
}

// Line is a line of a log.
type Line struct {
	Text  string
	Pairs []Pair
}

// Value returns the first value of the key, empty without one.
func (l Line) Value(key string) string {
	for _, p := range l.Pairs {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// HasValue reports whether a value of the line is the text.
func (l Line) HasValue(text string) bool {
	for _, p := range l.Pairs {
		if p.Value == text {
			return true
		}
	}
	return false
}

// Parse reads a line. What stands before its time, as a collector may add, is
// left out. It fails with ErrLine.
func Parse(text string) (Line, error) {
	start := strings.Index(text, "time=")
	if start < 0 {
		return Line{}, ErrInvalidLine.New("no time")
	}
	line := Line{Text: text}
	rest := strings.TrimSuffix(text[start:], "\n")
	for rest != "" {
		key, after, found := strings.Cut(rest, "=")
		if !found || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, ErrInvalidLine.New("no key=value at %q", rest)
		}
		value, tail, err := cutValue(after)
		if err != nil {
			return Line{}, err
		}
		line.Pairs = append(line.Pairs, Pair{Key: key, Value: value})
		rest = strings.TrimPrefix(tail, " ")
		if rest == tail && tail != "" {
			return Line{}, ErrInvalidLine.New("no space at %q", tail)
		}
	}
	return line, nil
}

// cutValue returns the value at the start of text and what follows it.
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
