package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/hedging"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// request is one online request to be run on a target.
type request struct {
	key   string
	trace string
	call  protocol.Call
	// fingerprint identifies the call by its content.
	fingerprint string
	service     *protocol.Service
	// affinity routes requests with the same prompt prefix to the same target;
	// zero means no affinity.
	affinity uint64
	// repeatable is false for calls that must run at most once.
	repeatable bool
	// callerKey is set if the caller chose the key; it may have sent the key
	// before.
	callerKey bool
	// onToken is called with each token of a model's response; it may be nil.
	onToken func(string) error
}

// retryBackoff is the base of the random back-off: the pause before attempt n+1
// is shorter than retryBackoff << n.
const retryBackoff = 10 * time.Millisecond

// dispatch runs the request on targets until one returns a complete response or
// no further attempt is allowed.
func (e *Entry) dispatch(ctx context.Context, req *request) (*protocol.Result, error) {
	d := newDispatcher(ctx, e, req)
	e.policy.deposit()
	var err error
	for n := 0; n < d.maxAttempts(); n++ {
		if n > 0 && !d.prepareRetry(ctx, n, err) {
			break
		}
		var result *protocol.Result
		result, err = d.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if ctx.Err() != nil || !req.mayRetry(err) {
			break
		}
	}
	return nil, d.finalError(err)
}

// attemptsPerMove is the number of additional attempts that a request gets for
// each move. A request is moved when its target gives its slot to shorter work
// (ErrMoved).
const attemptsPerMove = 4

// maxAttempts returns how many attempts the request may make. Moves add
// attempts, so that a request does not fail because it gave its slot to shorter
// work.
func (d *dispatcher) maxAttempts() int {
	return d.entry.settings.Entry.Attempts + attemptsPerMove*d.moves
}

// finalError returns the error of a request whose last attempt failed with err.
// If that attempt was refused but an earlier one may have run, the outcome is
// unknown.
func (d *dispatcher) finalError(err error) error {
	if !d.mayHaveRun || protocol.OutcomeOf(err) != protocol.OutcomeNotRun || errorx.IsOfType(err, protocol.ErrBadRequest) {
		return err
	}
	return protocol.ErrOutcomeUnknown.Wrap(err, "an earlier attempt may have run; the last one failed")
}

// mayRetry reports whether another attempt is allowed after err.
func (req *request) mayRetry(err error) bool {
	switch {
	case errorx.IsOfType(err, protocol.ErrBadRequest), errorx.IsOfType(err, protocol.ErrNoTarget),
		errorx.IsOfType(err, protocol.ErrKeyConflict), errorx.IsOfType(err, protocol.ErrQuarantined),
		errorx.IsOfType(err, protocol.ErrCrashUnstored):
		return false
	case req.repeatable:
		return true
	default:
		return protocol.OutcomeOf(err) == protocol.OutcomeNotRun
	}
}

// dispatcher runs one request and keeps its state across attempts.
type dispatcher struct {
	// moves counts the attempts that ended because a target gave the slot to
	// shorter work.
	moves int
	// waitsForSlot is set if attempts queue for a slot at their target.
	// Otherwise a target without a free slot refuses the attempt.
	waitsForSlot bool
	entry        *Entry
	request      *request
	tried        map[string]bool
	runner       *hedging.Runner
	delays       *stallDelays
	intervals    intervalSample
	deadline     time.Time
	// crashed is set once a target crashed while it ran the request.
	crashed bool
	// mayHaveRun is set once an attempt that may have run has ended.
	mayHaveRun bool
}

func newDispatcher(ctx context.Context, e *Entry, req *request) *dispatcher {
	d := &dispatcher{entry: e, request: req, tried: map[string]bool{}, delays: e.policy.stallDelaysOf(req.call.Service)}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(protocol.DefaultRequestTimeout)
	}
	d.deadline = deadline
	p := hedging.Params{Executor: e.attempts, Build: d.build, StallTimeout: d.delays.delay, OnToken: req.onToken, OnProgress: d.observeProgress, OnStalled: d.observeStall}
	if req.repeatable && !e.settings.Policy.NoHedges {
		p.HedgeTarget = d.hedgeTarget
	}
	d.waitsForSlot = e.settings.Policy.NoProbes || !e.policy.retries.Available()
	d.runner = hedging.New(p)
	return d
}

// prepareRetry withdraws one retry from the budget after err and backs off. It
// reports whether another attempt may be made. Retries after the loss of a
// target are not charged to the budget: there are at most as many of these
// requests as the target has slots, after a crash the quarantine bounds them,
// and moves are few. In the second half of the attempts the request waits for a
// slot.
func (d *dispatcher) prepareRetry(ctx context.Context, n int, err error) bool {
	probed := !d.waitsForSlot && errorx.IsOfType(err, protocol.ErrBusy)
	d.waitsForSlot = d.waitsForSlot || n >= d.entry.settings.Entry.Attempts/2
	if !d.crashed && d.moves == 0 && !isTargetLost(err) && !d.entry.policy.retries.TryWithdraw() {
		// When the budget is empty, a request that was only refused for lack of
		// a free slot makes its next attempt with waiting.
		d.waitsForSlot = true
		return probed
	}
	d.waitsForSlot = d.waitsForSlot || !d.entry.policy.retries.Available() // the budget allows no further attempt without waiting
	d.entry.metrics.retries.Inc()
	if !probed {
		pause.For(ctx, time.Duration(rand.Int64N(int64(retryBackoff<<n))))
	}
	return true
}

// isTargetLost reports whether err shows that the target or the connection to it
// is gone. A stalled target does not count, since it may only be overloaded.
func isTargetLost(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrLeaving) ||
		errorx.IsOfType(err, protocol.ErrConnectionLost) || errorx.IsOfType(err, protocol.ErrMoved)
}

// attempt runs the request on one target, and hedges it on a second one if the
// first stalls.
func (d *dispatcher) attempt(ctx context.Context) (*protocol.Result, error) {
	if err := d.entry.checkQuarantine(d.request.fingerprint); err != nil {
		return nil, err
	}
	target, err := d.awaitTarget(ctx)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	out := d.runner.Run(ctx, target)
	if out.Err == nil {
		if !d.request.call.Model {
			d.delays.observe(true, time.Since(start))
		}
		d.entry.members.Observe(out.Target.Instance, out.End.Report)
		return d.result(&out), nil
	}
	d.tried[out.Target.Name] = true
	d.mayHaveRun = d.mayHaveRun || d.request.repeatable && out.MayHaveRun // resolveLostAttempt covers requests that are not repeatable
	if errorx.IsOfType(out.Err, protocol.ErrMoved) {
		d.moves++
	}
	d.crashed = d.crashed || errorx.IsOfType(out.Err, protocol.ErrTargetCrashed)
	d.entry.ring.Add(d.request.trace, "attempt failed", "attempt", out.Attempt, "target", out.Target.Name, "error", protocol.ProblemOf(out.Err).Title)
	if !d.request.repeatable && protocol.OutcomeOf(out.Err) != protocol.OutcomeNotRun {
		return d.entry.resolveLostAttempt(d.request, out.Attempt, out.Err)
	}
	return nil, out.Err
}

// build makes the attempt request for a target.
func (d *dispatcher) build(t *routing.Target, resume []string) *protocol.AttemptRequest {
	e, req := d.entry, d.request
	a := &protocol.AttemptRequest{
		Attempt:        protocol.NewID(),
		Key:            req.key,
		Trace:          req.trace,
		Target:         t.Name,
		Class:          protocol.ClassOnline,
		Repeatable:     req.repeatable,
		Call:           req.call,
		Resume:         resume,
		Moves:          d.moves,
		NoWait:         !d.waitsForSlot,
		TimeLeftMillis: time.Until(d.deadline).Milliseconds(),
		Coordinator:    e.settings.Process.Peer,
		Clock:          e.ring.Clock().Now(),
	}
	// The event must carry the clock value that the attempt carries, since that
	// is the one the sidecar observes.
	e.ring.AddAt(a.Clock, req.trace, "attempt sent", "attempt", a.Attempt, "target", t.Name)
	return a
}

// targetTimeout bounds the wait for a target to become ready. A replaced target
// is reported as ready within the report interval.
const targetTimeout = protocol.HeartbeatTimeout

// awaitTarget picks a target, and waits if none is ready. The wait is bounded by
// targetTimeout, or, if a target crashed while it ran the request, by the
// request's own deadline, since all targets may be restarting. It fails with
// ErrNoTarget.
func (d *dispatcher) awaitTarget(ctx context.Context) (*routing.Target, error) {
	published := d.entry.members.Published()
	target, err := d.pickTarget()
	if err == nil {
		return target, nil
	}
	if !d.crashed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, targetTimeout)
		defer cancel()
	}
	for {
		select {
		case <-published:
		case <-ctx.Done():
			return nil, err
		}
		published = d.entry.members.Published()
		if target, err = d.pickTarget(); err == nil {
			return target, nil
		}
	}
}

// pickTarget picks a target that has not been tried yet. Once all have been
// tried it starts over.
func (d *dispatcher) pickTarget() (*routing.Target, error) {
	target, err := d.pickExcept(d.tried)
	if err != nil && len(d.tried) > 0 {
		clear(d.tried)
		target, err = d.pickExcept(d.tried)
	}
	return target, err
}

func (d *dispatcher) pickExcept(tried map[string]bool) (*routing.Target, error) {
	query := routing.Query{Selector: d.request.service.Selector, Tried: tried, AffinityKey: d.request.affinity}
	return d.entry.members.Table().Pick(query, d.entry.config.Current(), d.entry.policy.routing)
}

// hedgeTarget picks a second target for a stalled attempt, within the hedge
// budget. A hedge away from a target that is ejected as slow is not charged to
// the budget: there are at most as many of these requests as the target has
// slots.
func (d *dispatcher) hedgeTarget(first *routing.Target) (*routing.Target, bool) {
	others := map[string]bool{first.Name: true}
	for name := range d.tried {
		others[name] = true
	}
	target, err := d.pickExcept(others)
	if err != nil || !d.entry.policy.isEjected(first.Name) && !d.entry.policy.hedges.TryWithdraw() {
		return nil, false
	}
	d.entry.metrics.hedges.Inc()
	d.entry.ring.Add(d.request.trace, "attempt hedged", "stalled", first.Name, "target", target.Name)
	return target, true
}

// observeProgress records the time that a token took.
func (d *dispatcher) observeProgress(t *routing.Target, first bool, took time.Duration) {
	d.delays.observe(first, took)
	if step, full := d.intervals.add(t.Name, first, took); full {
		d.entry.policy.latency.Observe(d.request.call.Service, t.Name, step, time.Now())
	}
}

// observeStall records a stall of a target that was overtaken by the hedge.
func (d *dispatcher) observeStall(t *routing.Target, stalledFor time.Duration) {
	d.entry.policy.latency.ObserveStall(d.request.call.Service, t.Name, stalledFor, time.Now())
}

func (d *dispatcher) result(out *hedging.Outcome) *protocol.Result {
	if d.request.call.Model {
		return chatResult(d.request, d.runner.Tokens)
	}
	return &protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      out.Head.Status,
		ContentType: out.Head.ContentType,
		Body:        out.Head.Body,
	}
}
