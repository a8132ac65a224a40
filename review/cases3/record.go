package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to a file, one line an event. It is safe for
// concurrent use.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file}, nil
}

// write adds a line with the seconds since the start.
func (r *record) write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), line) // the exit code does not depend on it
}

func (r *record) close() { _ = r.file.Close() }
