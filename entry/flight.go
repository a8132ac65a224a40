package entry

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// flight is one request in progress at this entry. Resends with its key join it.
type flight struct {
	fingerprint string
	ctx         context.Context
	cancel      context.CancelFunc
	callers     int
	done        chan struct{}
	// result and err are set before done is closed.
	result *protocol.Result
	err    error
}

// flights holds the requests in progress by key.
type flights struct {
	mu    sync.Mutex
	byKey map[string]*flight
	group sync.WaitGroup
}

func newFlights() *flights { return &flights{byKey: map[string]*flight{}} }

// join returns the flight of key, and whether the caller must run it. It fails
// with ErrKeyConflict where the key belongs to another request.
func (f *flights) join(key, fingerprint string) (*flight, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.byKey[key]; fl != nil {
		if fl.fingerprint != fingerprint {
			return nil, false, protocol.ErrKeyConflict.New("the key belongs to a request with another body")
		}
		fl.callers++
		return fl, false, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	fl := &flight{fingerprint: fingerprint, ctx: ctx, cancel: cancel, callers: 1, done: make(chan struct{})}
	f.byKey[key] = fl
	f.group.Add(1)
	return fl, true, nil
}

// has reports whether a request with the key is in progress here.
func (f *flights) has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byKey[key] != nil
}

// finish publishes the outcome and ends the flight.
func (f *flights) finish(key string, fl *flight, result *protocol.Result, err error) {
	f.mu.Lock()
	delete(f.byKey, key)
	f.mu.Unlock()
	fl.result, fl.err = result, err
	close(fl.done)
	fl.cancel()
	f.group.Done()
}

// leave counts a caller out. The work stops once no caller is left, where
// abandon allows it.
func (f *flights) leave(fl *flight, abandon bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.callers--
	if fl.callers == 0 && abandon {
		fl.cancel()
	}
}

// wait returns when no request is in progress or ctx ends.
func (f *flights) wait(ctx context.Context) {
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
func (f *flights) cancelAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fl := range f.byKey {
		fl.cancel()
	}
}
