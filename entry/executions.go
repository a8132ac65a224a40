package entry

import (
	"context"
	"sync"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// execution is one request in progress at this entry. Further requests with the
// same key join it.
type execution struct {
	key         string
	fingerprint string
	// cancelUnused is set if the request is cancelled once no caller waits for
	// it.
	cancelUnused bool
	ctx          context.Context
	cancel       context.CancelFunc
	callers      int
	// local is set once this entry runs the request itself, rather than waiting
	// for another entry that runs it.
	local bool
	done  chan struct{}
	// executionResult and err are set before done is closed.
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

// join returns the execution for the request's key, and whether the caller must
// start it. A new execution ends with ctx at the latest. It fails with
// ErrKeyConflict if the key belongs to a different request.
func (es *executions) join(ctx context.Context, req *request) (*execution, bool, error) {
	fingerprint := req.fingerprint
	es.mu.Lock()
	defer es.mu.Unlock()
	if ex := es.byKey[req.key]; ex != nil {
		if ex.fingerprint != fingerprint {
			return nil, false, keyConflictError()
		}
		ex.callers++
		return ex, false, nil
	}
	ex := &execution{key: req.key, fingerprint: fingerprint, cancelUnused: req.repeatable, callers: 1, done: make(chan struct{})}
	ex.ctx, ex.cancel = context.WithCancel(ctx)
	es.byKey[req.key] = ex
	es.group.Add(1)
	return ex, true, nil
}

// joinLocal returns the execution for key if this entry runs it itself, and nil
// otherwise. It fails with ErrKeyConflict like join.
func (es *executions) joinLocal(key, fingerprint string) (*execution, error) {
	es.mu.Lock()
	defer es.mu.Unlock()
	ex := es.byKey[key]
	switch {
	case ex == nil:
		return nil, nil
	case ex.fingerprint != fingerprint:
		return nil, keyConflictError()
	case !ex.local:
		return nil, nil // otherwise two entries could wait for each other
	}
	ex.callers++
	return ex, nil
}

func keyConflictError() error {
	return protocol.ErrKeyConflict.New("the key belongs to a request with another body")
}

func (es *executions) setLocal(ex *execution) {
	es.mu.Lock()
	defer es.mu.Unlock()
	ex.local = true
}

// has reports whether a request with the key is in progress here.
func (es *executions) has(key string) bool {
	es.mu.Lock()
	defer es.mu.Unlock()
	return es.byKey[key] != nil
}

// finish publishes the result and ends the execution.
func (es *executions) finish(ex *execution, res executionResult, err error) {
	es.mu.Lock()
	es.remove(ex)
	es.mu.Unlock()
	ex.executionResult, ex.err = res, err
	close(ex.done)
	ex.cancel()
	es.group.Done()
}

func (es *executions) remove(ex *execution) {
	if es.byKey[ex.key] == ex {
		delete(es.byKey, ex.key)
	}
}

// leave removes one caller. Once no caller is left, an execution with
// cancelUnused is cancelled, and a later request with the key starts a new one.
func (es *executions) leave(ex *execution) {
	es.mu.Lock()
	defer es.mu.Unlock()
	ex.callers--
	if ex.callers == 0 && ex.cancelUnused {
		es.remove(ex)
		ex.cancel()
	}
}

// wait waits until no request is in progress or ctx ends.
func (es *executions) wait(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		es.group.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// cancelAll cancels all requests in progress. Each ends with an error that says
// what is known of its outcome.
func (es *executions) cancelAll() {
	es.mu.Lock()
	defer es.mu.Unlock()
	for _, ex := range es.byKey {
		ex.cancel()
	}
}
