package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// scopedKey scopes a caller's key to its workspace.
func scopedKey(workspace, key string) string { return workspace + "/" + key }

// storeTimeout bounds the wait for a result to become durable before its end is
// sent to the caller.
const storeTimeout = time.Second

func newRequest(key, trace string, call protocol.Call, service *protocol.Service) *request {
	return &request{
		key: key, trace: trace, call: call, fingerprint: call.Fingerprint(),
		service: service, repeatable: service.Repeatable(call.Method),
	}
}

// executionResult is the outcome of a flight.
type executionResult struct {
	result *protocol.Result
	// retained says whether every later read shows the result.
	retained bool
}

// execute runs a keyed request, joins the running one, or reads the result of
// an earlier one. It reports whether the result is retained.
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
		return nil, false, protocol.ErrTimeout.New("the caller has gone or the time is up")
	}
}

// isStored reports whether the order has a result in the log.
func (e *Entry) isStored(req *request) bool {
	r, _ := e.requests.Get(req.key)
	return r.ResultAt != 0 && r.Fingerprint == req.fingerprint
}

// earlierResult returns the result of an earlier request with the key, if there is
// one. It fails with ErrKeyConflict, or with ErrResultUnread.
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

// runExecution carries a flight through to its outcome.
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

// joinOrRun waits for the attempt that has started, joins the request at the
// entry that runs it, or runs it.
func (e *Entry) joinOrRun(ctx context.Context, ex *execution, req *request) (executionResult, error) {
	if r, _ := e.requests.Get(req.key); r.Started != nil {
		result, err := e.awaitStarted(ctx, req)
		if err == nil || !errorx.IsOfType(err, protocol.ErrVoided) {
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

// failedResult is the result of a request that its target refused for good.
func failedResult(err error) *protocol.Result {
	return &protocol.Result{
		Outcome:     protocol.OutcomeFailed,
		Status:      http.StatusUnprocessableEntity,
		ContentType: "text/plain; charset=utf-8",
		Body:        []byte(protocol.ProblemOf(err).Detail),
	}
}

// storeResult makes the result of an idempotent request durable and returns the one
// that every later read shows: the first in the log. Where the log does not
// take it in time, the result itself is returned and is not retained; so it is
// where the key turns out to belong to another request.
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
