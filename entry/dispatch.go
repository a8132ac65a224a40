package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// order is one request on its way to a target.
type order struct {
	key     string
	trace   string
	call    protocol.Call
	service *protocol.Service
	// repeatable is false for calls that must run at most once.
	repeatable bool
	// token receives each token of a model's answer; it may be nil.
	token func(string) error
}

// retryPause is the longest pause before the second attempt; it doubles with
// each further one.
const retryPause = 10 * time.Millisecond

// dispatch runs the order on targets until one gives a whole answer or no
// further attempt is allowed.
func (e *Entry) dispatch(ctx context.Context, o *order) (*protocol.Result, error) {
	run := &dispatchRun{entry: e, order: o, tried: map[string]bool{}}
	var err error
	for n := range e.settings.Entry.Attempts {
		if n > 0 {
			e.metrics.retries.Inc()
			pause(ctx, time.Duration(rand.Int64N(int64(retryPause<<n))))
		}
		var result *protocol.Result
		result, err = run.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil || !o.mayRetry(err) {
			break
		}
	}
	return nil, err
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mayRetry reports whether another attempt is allowed after err.
func (o *order) mayRetry(err error) bool {
	switch {
	case errorx.IsOfType(err, protocol.ErrBadRequest), errorx.IsOfType(err, protocol.ErrNoTarget),
		errorx.IsOfType(err, protocol.ErrKeyConflict), errorx.IsOfType(err, protocol.ErrQuarantined),
		errorx.IsOfType(err, protocol.ErrCrashUnstored):
		return false
	case o.repeatable:
		return true
	default:
		return protocol.OutcomeOf(err) == protocol.OutcomeNotRun
	}
}

// dispatchRun is the state of one order over its attempts.
type dispatchRun struct {
	entry *Entry
	order *order
	tried map[string]bool
	// tokens is what the caller has already got; a later attempt goes on after it.
	tokens []string
	head   *protocol.Frame
	// crashed is set once a target crashed under the request.
	crashed bool
}

func (d *dispatchRun) attempt(ctx context.Context) (*protocol.Result, error) {
	e, o := d.entry, d.order
	if err := e.checkQuarantine(o.call.Fingerprint()); err != nil {
		return nil, err
	}
	if err := d.awaitPick(ctx); err != nil {
		return nil, err
	}
	target, err := d.pick()
	if err != nil {
		return nil, err
	}
	a := &protocol.AttemptRequest{
		Attempt:        protocol.NewID(),
		Key:            o.key,
		Trace:          o.trace,
		Target:         target.Name,
		Class:          protocol.ClassOnline,
		Repeatable:     o.repeatable,
		Call:           o.call,
		Resume:         d.tokens,
		TimeLeftMillis: timeLeft(ctx).Milliseconds(),
		Coordinator:    e.settings.Process.Peer,
		Clock:          e.ring.Clock().Now(),
	}
	e.ring.Add(o.trace, "attempt sent", "attempt", a.Attempt, "target", target.Name)
	target.InFlight.Add(1)
	end, err := e.attempts.Execute(ctx, target.HTTP, a, d.take)
	target.InFlight.Add(-1)
	if err == nil {
		e.ring.Clock().Observe(end.Clock)
		e.members.Observe(target.Instance, end.Report)
		return d.result(), nil
	}
	d.tried[target.Name] = true
	d.crashed = d.crashed || errorx.IsOfType(err, protocol.ErrTargetCrashed)
	e.ring.Add(o.trace, "attempt failed", "attempt", a.Attempt, "target", target.Name, "error", protocol.ProblemOf(err).Title)
	if !o.repeatable && protocol.OutcomeOf(err) != protocol.OutcomeNotRun {
		return e.settle(o, a.Attempt, err)
	}
	return nil, err
}

// sharedRandom draws from the runtime's source, which any goroutine may use.
type sharedRandom struct{}

// IntN implements routing.Random.
func (sharedRandom) IntN(n int) int { return rand.IntN(n) }

// pick chooses a target not yet tried, and starts over once all were.
func (d *dispatchRun) pick() (*routing.Target, error) {
	table, config := d.entry.members.Table(), d.entry.config.Current()
	query := routing.Query{Selector: d.order.service.Selector, Tried: d.tried}
	target, err := table.Pick(query, config, sharedRandom{})
	if err != nil && len(d.tried) > 0 {
		clear(d.tried)
		target, err = table.Pick(query, config, sharedRandom{})
	}
	return target, err
}

func timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return protocol.DefaultRequestTimeout
	}
	return time.Until(deadline)
}

// take receives the frames of an attempt.
func (d *dispatchRun) take(f *protocol.Frame) error {
	if f.Kind == protocol.FrameHead {
		d.head = f
		return nil
	}
	d.tokens = append(d.tokens, f.Token)
	if d.order.token == nil {
		return nil
	}
	return d.order.token(f.Token)
}

func (d *dispatchRun) result() *protocol.Result {
	if d.order.call.Model {
		return chatResult(d.order, d.tokens)
	}
	return &protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      d.head.Status,
		ContentType: d.head.ContentType,
		Body:        d.head.Body,
	}
}
