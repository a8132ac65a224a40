package logs

import (
	"bufio"
	"cmp"
	"io"
	"slices"
)

// maxLineBytes bounds a line that is read.
const maxLineBytes = 1 << 20

// FindLines returns the lines of a log of which a value is the text. Lines of
// another form are left out. It fails with ErrLine where the log cannot be read.
func FindLines(in io.Reader, text string) ([]Line, error) {
	var found []Line
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, err := Parse(scanner.Text())
		if err == nil && line.HasValue(text) {
			found = append(found, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, ErrInvalidLine.Wrap(err, "read log")
	}
	return found, nil
}

// SortByTime puts the lines of several processes in order of time.
func SortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Value("time"), b.Value("time")) })
}
