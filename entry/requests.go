package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/uptrace/bunrouter"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// keyIn scopes a caller's key to its workspace.
func keyIn(workspace, key string) string { return workspace + "/" + key }

// storeWait bounds the wait for a result to become durable before its end is
// sent to the caller.
const storeWait = time.Second

// execute runs a keyed request, joins the running one, or reads the result of
// an earlier one. It reports whether the result is retained. token, where set,
// receives the tokens as they come, and is not called for a result read back.
func (e *Entry) execute(ctx context.Context, o *order) (result *protocol.Result, retained bool, err error) {
	earlier, err := e.earlier(ctx, o)
	if err != nil || earlier != nil {
		return earlier, true, err
	}
	fl, first, err := e.flights.join(o.key, o.call.Fingerprint())
	if err != nil {
		return nil, false, err
	}
	defer e.flights.leave(fl, o.repeatable)
	if first {
		e.tombGo(func() { e.fly(fl, o) })
	}
	select {
	case <-fl.done:
		return fl.result, fl.err == nil && e.isStored(o.key), fl.err
	case <-ctx.Done():
		return nil, false, protocol.ErrTimeout.New("the caller has gone or the time is up")
	}
}

// tombGo runs f as one of the entry's goroutines, inline once the entry stops.
func (e *Entry) tombGo(f func()) {
	if !e.tomb.Alive() {
		f()
		return
	}
	e.tomb.Go(func() error {
		f()
		return nil
	})
}

func (e *Entry) isStored(key string) bool {
	r, _ := e.requests.Get(key)
	return r.ResultAt != 0
}

// earlier returns the result of an earlier request with the key, if there is
// one. It fails with ErrKeyConflict, or with ErrUnknownOutcome where a call was
// started elsewhere and has no result yet.
func (e *Entry) earlier(ctx context.Context, o *order) (*protocol.Result, error) {
	r, found := e.requests.Get(o.key)
	if !found {
		return nil, nil
	}
	if r.Fingerprint != "" && r.Fingerprint != o.call.Fingerprint() {
		return nil, protocol.ErrKeyConflict.New("the key belongs to a request with another body")
	}
	if r.ResultAt != 0 {
		return e.stored(ctx, r.ResultAt)
	}
	if r.Started == nil {
		return nil, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, lateAnswerWait)
	defer cancel()
	if result := e.awaitResult(waitCtx, o.key); result != nil {
		return result, nil
	}
	if r, _ = e.requests.Get(o.key); r.Started == nil {
		return nil, nil
	}
	return nil, protocol.ErrUnknownOutcome.New("an earlier attempt was started and has no result yet")
}

// fly carries a flight through to its outcome.
func (e *Entry) fly(fl *flight, o *order) {
	ctx, cancel := context.WithTimeout(fl.ctx, o.service.Timeout())
	defer cancel()
	begun := time.Now()
	result, err := e.dispatch(ctx, o)
	if err != nil && judgedFailed(err) {
		result, err = judgedResult(err), nil
	}
	if err == nil && o.repeatable {
		result = e.store(o, result)
	}
	outcome := protocol.OutcomeOf(err)
	if err == nil {
		outcome = result.Outcome
	}
	e.metrics.requests.WithLabelValues(o.call.Service, string(outcome)).Inc()
	e.metrics.seconds.WithLabelValues(o.call.Service).Observe(time.Since(begun).Seconds())
	e.ring.Add(o.trace, "request ended", "outcome", string(outcome))
	klog.V(1).InfoS("request ended", "trace", o.trace, "service", o.call.Service, "outcome", outcome, "seconds", time.Since(begun).Seconds())
	e.flights.finish(o.key, fl, result, err)
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
// take it in time, the result itself is returned and is not retained.
func (e *Entry) store(o *order, result *protocol.Result) *protocol.Result {
	if o.service.Discard {
		return result
	}
	ctx, cancel := context.WithTimeout(e.context(), storeWait)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Complete: &protocol.RequestComplete{
		Key: o.key, Attempt: o.trace, Fingerprint: o.call.Fingerprint(), Result: *result,
	}}
	if err := e.appendAndFold(ctx, rec); err != nil {
		klog.InfoS("result not retained", "trace", o.trace, "error", err)
		return result
	}
	r, _ := e.requests.Get(o.key)
	if first, err := e.stored(ctx, r.ResultAt); err == nil {
		return first
	}
	return result
}

// accept makes an asynchronous request durable and starts it. The receipt names
// where its result will be.
func (e *Entry) accept(w http.ResponseWriter, r bunrouter.Request, key string, o *order) error {
	rec := protocol.Record{ID: protocol.NewID(), Accept: &protocol.RequestAccept{
		Key: o.key, Entry: e.settings.Process.Instance, Call: o.call,
	}}
	if err := e.appendAndFold(r.Context(), rec); err != nil {
		return err
	}
	state, _ := e.requests.Get(o.key)
	if state.Fingerprint != o.call.Fingerprint() {
		return protocol.ErrKeyConflict.New("the key belongs to a request with another body")
	}
	e.tombGo(func() { _, _, _ = e.execute(e.context(), o) })
	w.Header().Set("Location", "/requests/"+key)
	transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "accepted"})
	return nil
}

// adoptInterval is the time between two searches for accepted requests that
// nobody runs.
const adoptInterval = 2 * time.Second

// adopt runs accepted requests whose entry has gone. The owner of a key by
// rendezvous hashing adopts it.
func (e *Entry) adopt(ctx context.Context) error {
	ticker := time.NewTicker(adoptInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if e.isLeaving() || !e.work.follower.CaughtUp() {
			continue
		}
		e.adoptPending(ctx)
	}
}

func (e *Entry) adoptPending(ctx context.Context) {
	alive := map[string]bool{}
	for _, i := range e.members.Entries() {
		alive[i.Name] = i.Name != e.settings.Process.Instance
	}
	for _, a := range e.requests.Pending() {
		service := e.config.Current().Service(a.Call.Service)
		if service == nil || alive[a.Entry] || !e.ownsKey(a.Key) || e.flights.has(a.Key) {
			continue
		}
		o := newOrder(a.Key, protocol.NewID(), a.Call, service)
		e.tombGo(func() { _, _, _ = e.execute(ctx, o) })
	}
}

func newOrder(key, trace string, call protocol.Call, service *protocol.Service) *order {
	return &order{key: key, trace: trace, call: call, service: service, repeatable: service.Repeatable(call.Method)}
}

// wantsReceipt reports whether the caller asked for an asynchronous answer.
func wantsReceipt(r *http.Request) bool {
	return strings.Contains(r.Header.Get(headerPrefer), "respond-async")
}

// serveResult answers GET /requests/{key} with the stored answer, or with what
// is known of the request.
func (e *Entry) serveResult(w http.ResponseWriter, r bunrouter.Request) error {
	key := r.Param("key")
	state, found := e.requests.Get(keyIn(workspaceOf(r), key))
	switch {
	case !found:
		return protocol.ErrNotFound.New("no request with this key is known")
	case state.ResultAt != 0:
		result, err := e.stored(r.Context(), state.ResultAt)
		if err != nil {
			return err
		}
		writeResult(w, result, key, true)
		return nil
	case state.Started != nil:
		transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "started", "outcome": string(protocol.OutcomeUnknown)})
		return nil
	case state.Accepted != nil:
		transport.WriteJSON(w, http.StatusAccepted, map[string]string{"key": key, "status": "accepted"})
		return nil
	default:
		return protocol.ErrNotFound.New("the request has not run")
	}
}

func writeResult(w http.ResponseWriter, result *protocol.Result, key string, retained bool) {
	w.Header().Set(headerKey, key)
	w.Header().Set(headerRetained, boolText(retained))
	if result.ContentType != "" {
		w.Header().Set("Content-Type", result.ContentType)
	}
	w.WriteHeader(result.Status)
	_, _ = w.Write(result.Body)
}

func boolText(b bool) string {
	if b {
		return "true"
	}
	return "false"
}
