package entry

import (
	"context"
	"sync"
)

// tasks admits goroutines to the entry's tomb until the tomb dies. A tomb fails
// when a goroutine is added after the last one has ended: close is itself one
// of them, and ends only once no more are added.
type tasks struct {
	mu     sync.RWMutex
	closed bool
}

// close waits for the end of ctx and then refuses further goroutines.
func (t *tasks) close(ctx context.Context) error {
	<-ctx.Done()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return nil
}

// runTask runs f as one of the entry's goroutines, inline once the entry stops.
func (e *Entry) runTask(f func()) {
	if !e.tryStart(f) {
		f()
	}
}

func (e *Entry) tryStart(f func()) bool {
	e.tasks.mu.RLock()
	defer e.tasks.mu.RUnlock()
	if e.tasks.closed {
		return false
	}
	e.tomb.Go(func() error {
		f()
		return nil
	})
	return true
}
