package entry

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// flight is one request in progress at this entry. Resends with its key join it.
type flight struct {
	key         string
	fingerprint string
	// abandon is set where the work stops once no caller is left.
	abandon bool
	ctx     context.Context
	cancel  context.CancelFunc
	callers int
	// running is set once the request is this entry's to run, rather than one
	// that it waits for elsewhere.
	running bool
	done    chan struct{}
	// ending and err are set before done is closed.
	ending
	err error
}

// flights holds the requests in progress by key.
type flights struct {
	mu    sync.Mutex
	byKey map[string]*flight
	group sync.WaitGroup
}

func newFlights() *flights { return &flights{byKey: map[string]*flight{}} }

// join returns the flight of the order's key, and whether the caller must run
// it; its work ends with ctx at the latest. It fails with ErrKeyConflict where
// the key belongs to another request.
func (f *flights) join(ctx context.Context, o *order) (*flight, bool, error) {
	fingerprint := o.fingerprint
	f.mu.Lock()
	defer f.mu.Unlock()
	if fl := f.byKey[o.key]; fl != nil {
		if fl.fingerprint != fingerprint {
			return nil, false, errKeyConflict()
		}
		fl.callers++
		return fl, false, nil
	}
	fl := &flight{key: o.key, fingerprint: fingerprint, abandon: o.repeatable, callers: 1, done: make(chan struct{})}
	fl.ctx, fl.cancel = context.WithCancel(ctx)
	f.byKey[o.key] = fl
	f.group.Add(1)
	return fl, true, nil
}

// joinRunning returns the flight of key where this entry runs it itself, and
// nil otherwise. It fails with ErrKeyConflict like join.
func (f *flights) joinRunning(key, fingerprint string) (*flight, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl := f.byKey[key]
	switch {
	case fl == nil:
		return nil, nil
	case fl.fingerprint != fingerprint:
		return nil, errKeyConflict()
	case !fl.running:
		return nil, nil // two entries must not wait for each other
	}
	fl.callers++
	return fl, nil
}

func errKeyConflict() error {
	return protocol.ErrKeyConflict.New("the key belongs to a request with another body")
}

func (f *flights) setRunning(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.running = true
}

// has reports whether a request with the key is in progress here.
func (f *flights) has(key string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byKey[key] != nil
}

// finish publishes the outcome and ends the flight.
func (f *flights) finish(fl *flight, end ending, err error) {
	f.mu.Lock()
	f.remove(fl)
	f.mu.Unlock()
	fl.ending, fl.err = end, err
	close(fl.done)
	fl.cancel()
	f.group.Done()
}

func (f *flights) remove(fl *flight) {
	if f.byKey[fl.key] == fl {
		delete(f.byKey, fl.key)
	}
}

// leave counts a caller out. Work that may be abandoned stops once no caller is
// left, and a later caller starts anew.
func (f *flights) leave(fl *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fl.callers--
	if fl.callers == 0 && fl.abandon {
		f.remove(fl)
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
