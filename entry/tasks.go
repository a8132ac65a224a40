package entry

import (
	"context"
	"sync"
)

// tasks allows goroutines to be added to the entry's tomb until the tomb dies. A
// tomb panics if a goroutine is added after all others have ended. The goroutine
// that runs close prevents this: it ends only once no more can be added.
type tasks struct {
	mu     sync.RWMutex
	closed bool
}

// close waits for the end of ctx and then disallows further goroutines.
func (t *tasks) close(ctx context.Context) error {
	<-ctx.Done()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	return nil
}

// runTask runs f in a goroutine of the entry, or in the calling goroutine if the
// entry is stopping.
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
