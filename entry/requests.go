package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// scopedKey returns a caller's key with its workspace as prefix.
func scopedKey(workspace, key string) string { return workspace + "/" + key }

// storeTimeout bounds the wait for a result to become durable before the end of
// the response is sent to the caller.
const storeTimeout = time.Second

func newRequest(key, trace string, call protocol.Call, service *protocol.Service) *request {
	return &request{
		key: key, trace: trace, call: call, fingerprint: call.Fingerprint(),
		service: service, repeatable: service.Repeatable(call.Method),
	}
}

// executionResult is the result of an execution.
type executionResult struct {
	result *protocol.Result
	// retained is set if every later read returns this result.
	retained bool
}

// execute runs a request, joins a running one with the same key, or returns the
// result of an earlier one. It reports whether the result is retained.
func (e *Entry) execute(ctx context.Context, req *request) (result *protocol.Result, retained bool, err error) {
	earlier, err := e.earlierResult(ctx, req)
	if err != nil || earlier != nil {
		return earlier, true, err
	}
	ex, first, err := e.executions.join(e.context(), req)
	if err != nil {
		return nil, false, err
	}
	defer e.executions.leave(ex)
	if first {
		e.runTask(func() { e.runExecution(ex, req) })
	}
	select {
	case <-ex.done:
		return ex.result, ex.retained, ex.err
	case <-ctx.Done():
		return nil, false, protocol.ErrTimeout.New("the caller disconnected or the request timed out")
	}
}

// isStored reports whether the log has a result for the request.
func (e *Entry) isStored(req *request) bool {
	r, _ := e.requests.Get(req.key)
	return r.ResultAt != 0 && r.Fingerprint == req.fingerprint
}

// earlierResult returns the result of an earlier request with the key, or nil if
// there is none. It fails with ErrKeyConflict or ErrResultUnreadable.
func (e *Entry) earlierResult(ctx context.Context, req *request) (*protocol.Result, error) {
	r, found := e.requests.Get(req.key)
	switch {
	case !found:
		return nil, nil
	case r.Fingerprint != "" && r.Fingerprint != req.fingerprint:
		return nil, keyConflictError()
	case r.ResultAt != 0:
		return e.readStoredResult(ctx, r.ResultAt)
	default:
		return nil, nil
	}
}

// runExecution runs an execution to its end and publishes its result.
func (e *Entry) runExecution(ex *execution, req *request) {
	ctx, cancel := context.WithTimeout(ex.ctx, req.service.Timeout())
	defer cancel()
	start := time.Now()
	res, err := e.joinOrRun(ctx, ex, req)
	if err != nil && isFinalFailure(err) {
		res, err = e.storeResult(req, finalFailureResult(err)), nil
	}
	if err != nil {
		res, err = e.confirmNotRun(req, err)
	}
	outcome := protocol.OutcomeOf(err)
	if err == nil {
		outcome = res.result.Outcome
	}
	e.metrics.requests.WithLabelValues(req.call.Service, string(outcome)).Inc()
	e.metrics.seconds.WithLabelValues(req.call.Service).Observe(time.Since(start).Seconds())
	e.ring.Add(req.trace, "request ended", "outcome", string(outcome))
	klog.V(1).InfoS("request ended", "trace", req.trace, "service", req.call.Service, "outcome", outcome, "seconds", time.Since(start).Seconds())
	e.executions.finish(ex, res, err)
	if req.callerKey {
		e.unclaim(req.key)
	}
}

// joinOrRun waits for an attempt that has already started, joins the request at
// another entry that runs it, or runs it here.
func (e *Entry) joinOrRun(ctx context.Context, ex *execution, req *request) (executionResult, error) {
	if r, _ := e.requests.Get(req.key); r.Started != nil {
		result, err := e.awaitStarted(ctx, req)
		if err == nil || !errorx.IsOfType(err, protocol.ErrAttemptVoid) {
			return executionResult{result, err == nil}, err
		}
	}
	if req.callerKey {
		if res, joined, err := e.joinRemote(ctx, req); joined {
			return res, err
		}
	}
	e.executions.setLocal(ex)
	result, err := e.dispatch(ctx, req)
	if err != nil {
		return executionResult{}, err
	}
	if req.repeatable {
		return e.storeResult(req, result), nil
	}
	return executionResult{result, e.isStored(req)}, nil
}

// failedResult returns the result of a request that its target rejected
// permanently.
func failedResult(err error) *protocol.Result {
	return &protocol.Result{
		Outcome:     protocol.OutcomeFailed,
		Status:      http.StatusUnprocessableEntity,
		ContentType: "text/plain; charset=utf-8",
		Body:        []byte(protocol.ProblemOf(err).Detail),
	}
}

// storeResult stores the result of an idempotent request and returns the one
// that every later read returns, which is the first in the log. If the result
// cannot be stored in time, or the key turns out to belong to another request,
// it returns the given result as not retained.
func (e *Entry) storeResult(req *request, result *protocol.Result) executionResult {
	if req.service.Discard {
		return executionResult{result: result}
	}
	ctx, cancel := context.WithTimeout(e.context(), storeTimeout)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Complete: &protocol.RequestComplete{
		Key: req.key, Attempt: req.trace, Fingerprint: req.fingerprint, Result: *result,
	}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		klog.InfoS("result not retained", "trace", req.trace, "error", protocol.CauseOf(err))
		return executionResult{result: result}
	}
	r, _ := e.requests.Get(req.key)
	if r.ResultAt == 0 || r.Fingerprint != req.fingerprint {
		return executionResult{result: result}
	}
	first, err := e.readStoredResult(ctx, r.ResultAt)
	if err != nil {
		return executionResult{result: result}
	}
	return executionResult{first, true}
}
