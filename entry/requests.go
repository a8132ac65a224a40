package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// keyIn scopes a caller's key to its workspace.
func keyIn(workspace, key string) string { return workspace + "/" + key }

// storeWait bounds the wait for a result to become durable before its end is
// sent to the caller.
const storeWait = time.Second

func newOrder(key, trace string, call protocol.Call, service *protocol.Service) *order {
	return &order{
		key: key, trace: trace, call: call, fingerprint: call.Fingerprint(),
		service: service, repeatable: service.Repeatable(call.Method),
	}
}

// ending is the outcome of a flight.
type ending struct {
	result *protocol.Result
	// retained says whether every later read shows the result.
	retained bool
}

// execute runs a keyed request, joins the running one, or reads the result of
// an earlier one. It reports whether the result is retained.
func (e *Entry) execute(ctx context.Context, o *order) (result *protocol.Result, retained bool, err error) {
	earlier, err := e.earlier(ctx, o)
	if err != nil || earlier != nil {
		return earlier, true, err
	}
	fl, first, err := e.flights.join(e.context(), o)
	if err != nil {
		return nil, false, err
	}
	defer e.flights.leave(fl)
	if first {
		e.tombGo(func() { e.runFlight(fl, o) })
	}
	select {
	case <-fl.done:
		return fl.result, fl.retained, fl.err
	case <-ctx.Done():
		return nil, false, protocol.ErrTimeout.New("the caller has gone or the time is up")
	}
}

// isStored reports whether the order has a result in the log.
func (e *Entry) isStored(o *order) bool {
	r, _ := e.requests.Get(o.key)
	return r.ResultAt != 0 && r.Fingerprint == o.fingerprint
}

// earlier returns the result of an earlier request with the key, if there is
// one. It fails with ErrKeyConflict, or with ErrResultUnread.
func (e *Entry) earlier(ctx context.Context, o *order) (*protocol.Result, error) {
	r, found := e.requests.Get(o.key)
	switch {
	case !found:
		return nil, nil
	case r.Fingerprint != "" && r.Fingerprint != o.fingerprint:
		return nil, errKeyConflict()
	case r.ResultAt != 0:
		return e.stored(ctx, r.ResultAt)
	default:
		return nil, nil
	}
}

// runFlight carries a flight through to its outcome.
func (e *Entry) runFlight(fl *flight, o *order) {
	ctx, cancel := context.WithTimeout(fl.ctx, o.service.Timeout())
	defer cancel()
	begun := time.Now()
	end, err := e.resolve(ctx, fl, o)
	if err != nil && judgedFailed(err) {
		end, err = e.store(o, judgedResult(err)), nil
	}
	if err != nil {
		end, err = e.confirm(o, err)
	}
	outcome := protocol.OutcomeOf(err)
	if err == nil {
		outcome = end.result.Outcome
	}
	e.metrics.requests.WithLabelValues(o.call.Service, string(outcome)).Inc()
	e.metrics.seconds.WithLabelValues(o.call.Service).Observe(time.Since(begun).Seconds())
	e.ring.Add(o.trace, "request ended", "outcome", string(outcome))
	klog.V(1).InfoS("request ended", "trace", o.trace, "service", o.call.Service, "outcome", outcome, "seconds", time.Since(begun).Seconds())
	e.flights.finish(fl, end, err)
	if o.named {
		e.unclaim(o.key)
	}
}

// resolve waits for the attempt that has started, joins the request at the
// entry that runs it, or runs it.
func (e *Entry) resolve(ctx context.Context, fl *flight, o *order) (ending, error) {
	if r, _ := e.requests.Get(o.key); r.Started != nil {
		result, err := e.awaitStarted(ctx, o)
		if err == nil || !errorx.IsOfType(err, protocol.ErrAttemptVoid) {
			return ending{result, err == nil}, err
		}
	}
	if o.named {
		if end, joined, err := e.joinElsewhere(ctx, o); joined {
			return end, err
		}
	}
	e.flights.setRunning(fl)
	result, err := e.dispatch(ctx, o)
	if err != nil {
		return ending{}, err
	}
	if o.repeatable {
		return e.store(o, result), nil
	}
	return ending{result, e.isStored(o)}, nil
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

// store makes the result of an idempotent request durable and returns the one
// that every later read shows: the first in the log. Where the log does not
// take it in time, the result itself is returned and is not retained; so it is
// where the key turns out to belong to another request.
func (e *Entry) store(o *order, result *protocol.Result) ending {
	if o.service.Discard {
		return ending{result: result}
	}
	ctx, cancel := context.WithTimeout(e.context(), storeWait)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Complete: &protocol.RequestComplete{
		Key: o.key, Attempt: o.trace, Fingerprint: o.fingerprint, Result: *result,
	}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		klog.InfoS("result not retained", "trace", o.trace, "error", protocol.CauseOf(err))
		return ending{result: result}
	}
	r, _ := e.requests.Get(o.key)
	if r.ResultAt == 0 || r.Fingerprint != o.fingerprint {
		return ending{result: result}
	}
	first, err := e.stored(ctx, r.ResultAt)
	if err != nil {
		return ending{result: result}
	}
	return ending{first, true}
}
