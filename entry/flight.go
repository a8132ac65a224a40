package entry

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// execution is one request in progress at this entry. Resends with its key join it.
type execution struct {
	key         string
	fingerprint string
	// cancelUnused is set where the work stops once no caller is left.
	cancelUnused bool
	ctx          context.Context
	cancel       context.CancelFunc
	callers      int
	// local is set once the request is this entry's to run, rather than one
	// that it waits for elsewhere.
	local bool
	done  chan struct{}
	// ending and err are set before done is closed.
	executionResult
	err error
}

// executions holds the requests in progress by key.
type executions struct {
	mu    sync.Mutex
	byKey map[string]*execution
	group sync.WaitGroup
}

func newExecutions() *executions { return &executions{byKey: map[string]*execution{}} }

// join returns the flight of the order's key, and whether the caller must run
// it; its work ends with ctx at the latest. It fails with ErrKeyConflict where
// the key belongs to another request.
func (f *executions) join(ctx context.Context, o *request) (*execution, bool, error) {
	fingerprint := o.fingerprint
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.byKey[o.key]; fl != nil {
		if fl.fingerprint != fingerprint {
			return nil, false, keyConflictError()
		}
		fl.callers++
		return fl, false, nil
	}
	fl := &execution{key: o.key, fingerprint: fingerprint, cancelUnused: o.repeatable, callers: 1, done: make(chan struct{})}
	fl.ctx, fl.cancel = context.WithCancel(ctx)
	f.byKey[o.key] = fl
	f.group.Add(1)
	return fl, true, nil
}

// joinLocal returns the flight of key where this entry runs it itself, and
// nil otherwise. It fails with ErrKeyConflict like join.
func (f *executions) joinLocal(key, fingerprint string) (*execution, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl := f.byKey[key]
	switch {
	case fl == nil:
		return nil, nil
	case fl.fingerprint != fingerprint:
		return nil, keyConflictError()
	case !fl.local:
		return nil, nil // two entries must not wait for each other
	}
	fl.callers++
	return fl, nil
}

func keyConflictError() error {
	return protocol.ErrKeyConflict.New("the key belongs to a request with another body")
}

func (f *executions) setLocal(fl *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.local = true
}

// has reports whether a request with the key is in progress here.
func (f *executions) has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byKey[key] != nil
}

// finish publishes the outcome and ends the flight.
func (f *executions) finish(fl *execution, end executionResult, err error) {
	f.mu.Lock()
	f.remove(fl)
	f.mu.Unlock()
	fl.executionResult, fl.err = end, err
	close(fl.done)
	fl.cancel()
	f.group.Done()
}

func (f *executions) remove(fl *execution) {
	if f.byKey[fl.key] == fl {
		delete(f.byKey, fl.key)
	}
}

// leave counts a caller out. Work that may be abandoned stops once no caller is
// left, and a later caller starts anew.
func (f *executions) leave(fl *execution) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.callers--
	if fl.callers == 0 && fl.cancelUnused {
		f.remove(fl)
		fl.cancel()
	}
}

// wait returns when no request is in progress or ctx ends.
func (f *executions) wait(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		f.group.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// cancelAll stops every request in progress; each ends with an error that says
// what is known of it.
func (f *executions) cancelAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.byKey {
		fl.cancel()
	}
}
