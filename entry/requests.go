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
func (e *Entry) execute(ctx context.Context, o *request) (result *protocol.Result, retained bool, err error) {
	earlier, err := e.earlierResult(ctx, o)
	if err != nil || earlier != nil {
		return earlier, true, err
	}
	fl, first, err := e.executions.join(e.context(), o)
	if err != nil {
		return nil, false, err
	}
	defer e.executions.leave(fl)
	if first {
		e.runTask(func() { e.runExecution(fl, o) })
	}
	select {
	case <-fl.done:
		return fl.result, fl.retained, fl.err
	case <-ctx.Done():
		return nil, false, protocol.ErrTimeout.New("the caller has gone or the time is up")
	}
}

// isStored reports whether the order has a result in the log.
func (e *Entry) isStored(o *request) bool {
	r, _ := e.requests.Get(o.key)
	return r.ResultAt != 0 && r.Fingerprint == o.fingerprint
}

// earlierResult returns the result of an earlier request with the key, if there is
// one. It fails with ErrKeyConflict, or with ErrResultUnread.
func (e *Entry) earlierResult(ctx context.Context, o *request) (*protocol.Result, error) {
	r, found := e.requests.Get(o.key)
	switch {
	case !found:
		return nil, nil
	case r.Fingerprint != "" && r.Fingerprint != o.fingerprint:
		return nil, keyConflictError()
	case r.ResultAt != 0:
		return e.readStoredResult(ctx, r.ResultAt)
	default:
		return nil, nil
	}
}

// runExecution carries a flight through to its outcome.
func (e *Entry) runExecution(fl *execution, o *request) {
	ctx, cancel := context.WithTimeout(fl.ctx, o.service.Timeout())
	defer cancel()
	begun := time.Now()
	end, err := e.joinOrRun(ctx, fl, o)
	if err != nil && isFinalFailure(err) {
		end, err = e.storeResult(o, finalFailureResult(err)), nil
	}
	if err != nil {
		end, err = e.confirmNotRun(o, err)
	}
	outcome := protocol.OutcomeOf(err)
	if err == nil {
		outcome = end.result.Outcome
	}
	e.metrics.requests.WithLabelValues(o.call.Service, string(outcome)).Inc()
	e.metrics.seconds.WithLabelValues(o.call.Service).Observe(time.Since(begun).Seconds())
	e.ring.Add(o.trace, "request ended", "outcome", string(outcome))
	klog.V(1).InfoS("request ended", "trace", o.trace, "service", o.call.Service, "outcome", outcome, "seconds", time.Since(begun).Seconds())
	e.executions.finish(fl, end, err)
	if o.callerKey {
		e.unclaim(o.key)
	}
}

// joinOrRun waits for the attempt that has started, joins the request at the
// entry that runs it, or runs it.
func (e *Entry) joinOrRun(ctx context.Context, fl *execution, o *request) (executionResult, error) {
	if r, _ := e.requests.Get(o.key); r.Started != nil {
		result, err := e.awaitStarted(ctx, o)
		if err == nil || !errorx.IsOfType(err, protocol.ErrAttemptVoid) {
			return executionResult{result, err == nil}, err
		}
	}
	if o.callerKey {
		if end, joined, err := e.joinRemote(ctx, o); joined {
			return end, err
		}
	}
	e.executions.setLocal(fl)
	result, err := e.dispatch(ctx, o)
	if err != nil {
		return executionResult{}, err
	}
	if o.repeatable {
		return e.storeResult(o, result), nil
	}
	return executionResult{result, e.isStored(o)}, nil
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
func (e *Entry) storeResult(o *request, result *protocol.Result) executionResult {
	if o.service.Discard {
		return executionResult{result: result}
	}
	ctx, cancel := context.WithTimeout(e.context(), storeTimeout)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Complete: &protocol.RequestComplete{
		Key: o.key, Attempt: o.trace, Fingerprint: o.fingerprint, Result: *result,
	}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		klog.InfoS("result not retained", "trace", o.trace, "error", protocol.CauseOf(err))
		return executionResult{result: result}
	}
	r, _ := e.requests.Get(o.key)
	if r.ResultAt == 0 || r.Fingerprint != o.fingerprint {
		return executionResult{result: result}
	}
	first, err := e.readStoredResult(ctx, r.ResultAt)
	if err != nil {
		return executionResult{result: result}
	}
	return executionResult{first, true}
}
