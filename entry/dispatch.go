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

// request is one request on its way to a target.
type request struct {
	key   string
	trace string
	call  protocol.Call
	// fingerprint identifies the call by content.
	fingerprint string
	service     *protocol.Service
	// affinity keeps requests with the same prompt prefix together; zero for none.
	affinity uint64
	// repeatable is false for calls that must run at most once.
	repeatable bool
	// callerKey is set where the caller chose the key, and may have sent it before.
	callerKey bool
	// onToken receives each token of a model's answer; it may be nil.
	onToken func(string) error
}

// retryBackoff is the longest pause before the second attempt; it doubles with
// each further one.
const retryBackoff = 10 * time.Millisecond

// dispatch runs the order on targets until one gives a whole answer or no
// further attempt is allowed.
func (e *Entry) dispatch(ctx context.Context, o *request) (*protocol.Result, error) {
	run := newDispatcher(ctx, e, o)
	e.policy.deposit()
	var err error
	for n := 0; n < run.maxAttempts(); n++ {
		if n > 0 && !run.prepareRetry(ctx, n, err) {
			break
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
	return nil, run.finalError(err)
}

// attemptsPerMove is the number of further attempts of a request that was moved.
const attemptsPerMove = 4

// maxAttempts returns how many attempts the request may make. One that gave its slot
// to shorter work must not fail for it.
func (d *dispatcher) maxAttempts() int {
	return d.entry.settings.Entry.Attempts + attemptsPerMove*d.moves
}

// finalError returns the error of a request whose last attempt failed with err. A
// refusal is not the whole truth where another attempt may have run.
func (d *dispatcher) finalError(err error) error {
	if !d.mayHaveRun || protocol.OutcomeOf(err) != protocol.OutcomeNotRun || errorx.IsOfType(err, protocol.ErrBadRequest) {
		return err
	}
	return protocol.ErrOutcomeUnknown.Wrap(err, "an earlier attempt may have run; the last one")
}

// mayRetry reports whether another attempt is allowed after err.
func (o *request) mayRetry(err error) bool {
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

// dispatcher is the state of one order over its attempts.
type dispatcher struct {
	// moves counts how often a target gave the request's slot to shorter work.
	moves int
	// waitsForSlot is set once the request waits for a slot where it is sent; before,
	// targets without one refuse it.
	waitsForSlot bool
	entry        *Entry
	request      *request
	tried        map[string]bool
	runner       *hedging.Runner
	delays       *stallDelays
	intervals    intervalSample
	deadline     time.Time
	// crashed is set once a target crashed under the request.
	crashed bool
	// mayHaveRun is set once an attempt ended that may have run.
	mayHaveRun bool
}

func newDispatcher(ctx context.Context, e *Entry, o *request) *dispatcher {
	d := &dispatcher{entry: e, request: o, tried: map[string]bool{}, delays: e.policy.stallDelaysOf(o.call.Service)}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(protocol.DefaultRequestTimeout)
	}
	d.deadline = deadline
	p := hedging.Params{Executor: e.attempts, Build: d.build, StallTimeout: d.delays.delay, OnToken: o.onToken, OnProgress: d.observeProgress, OnStalled: d.observeStall}
	if o.repeatable && !e.settings.Policy.NoHedges {
		p.HedgeTarget = d.hedgeTarget
	}
	d.waitsForSlot = e.settings.Policy.NoProbes || !e.policy.retries.Available()
	d.runner = hedging.New(p)
	return d
}

// prepareRetry spends one retry after err and pauses before it. A retry after the loss
// of a target costs no budget: those requests are as few as the target's slots,
// after a crash the quarantine bounds them, and moves are few. The second half of
// the attempts waits for a slot.
func (d *dispatcher) prepareRetry(ctx context.Context, n int, err error) bool {
	probed := !d.waitsForSlot && errorx.IsOfType(err, protocol.ErrBusy)
	d.waitsForSlot = d.waitsForSlot || n >= d.entry.settings.Entry.Attempts/2
	if !d.crashed && d.moves == 0 && !isTargetLost(err) && !d.entry.policy.retries.TryWithdraw() {
		// Without a retry to spend, a request that was only looking for a free slot
		// waits for one.
		d.waitsForSlot = true
		return probed
	}
	d.waitsForSlot = d.waitsForSlot || !d.entry.policy.retries.Available() // no further look would be paid
	d.entry.metrics.retries.Inc()
	if !probed {
		pause.For(ctx, time.Duration(rand.Int64N(int64(retryBackoff<<n))))
	}
	return true
}

// isTargetLost reports whether err shows that the target or the way to it has
// gone, rather than that it has too much to do: a target that stalls may have.
func isTargetLost(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrLeaving) ||
		errorx.IsOfType(err, protocol.ErrConnectionLost) || errorx.IsOfType(err, protocol.ErrMoved)
}

// attempt runs the order once, or twice beside each other where the first stalls.
func (d *dispatcher) attempt(ctx context.Context) (*protocol.Result, error) {
	if err := d.entry.checkQuarantine(d.request.fingerprint); err != nil {
		return nil, err
	}
	target, err := d.awaitTarget(ctx)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	out := d.runner.Run(ctx, target)
	if out.Err == nil {
		if !d.request.call.Model {
			d.delays.observe(true, time.Since(begun))
		}
		d.entry.members.Observe(out.Target.Instance, out.End.Report)
		return d.result(&out), nil
	}
	d.tried[out.Target.Name] = true
	d.mayHaveRun = d.mayHaveRun || d.request.repeatable && out.MayHaveRun // others are settled
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

// build makes the attempt for a target.
func (d *dispatcher) build(t *routing.Target, resume []string) *protocol.AttemptRequest {
	e, o := d.entry, d.request
	a := &protocol.AttemptRequest{
		Attempt:        protocol.NewID(),
		Key:            o.key,
		Trace:          o.trace,
		Target:         t.Name,
		Class:          protocol.ClassOnline,
		Repeatable:     o.repeatable,
		Call:           o.call,
		Resume:         resume,
		Moves:          d.moves,
		NoWait:         !d.waitsForSlot,
		TimeLeftMillis: time.Until(d.deadline).Milliseconds(),
		Coordinator:    e.settings.Process.Peer,
		Clock:          e.ring.Clock().Now(),
	}
	// The sidecar observes the clock of the attempt, not that of a later event.
	e.ring.AddAt(a.Clock, o.trace, "attempt sent", "attempt", a.Attempt, "target", t.Name)
	return a
}

// targetTimeout bounds the wait for a target to become ready: a replaced target is
// known as ready within the interval of reports.
const targetTimeout = protocol.HeartbeatTimeout

// awaitTarget picks a target, waiting a while where none is ready: as long as the
// request may take where a crash took one from it, since all may be restarting.
// It fails with ErrNoTarget.
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

// pickTarget chooses a target not yet tried, and starts over once all were.
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

// hedgeTarget chooses a target beside a stalled one, within the budget of hedges. To
// leave a target that is ejected as slow costs no budget: those requests are as
// few as the target's slots.
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

// observeProgress learns from the pace of an answer.
func (d *dispatcher) observeProgress(t *routing.Target, first bool, took time.Duration) {
	d.delays.observe(first, took)
	if step, full := d.intervals.add(t.Name, first, took); full {
		d.entry.policy.latency.Observe(d.request.call.Service, t.Name, step, time.Now())
	}
}

// observeStall counts against a target that another one overtook.
func (d *dispatcher) observeStall(t *routing.Target, silent time.Duration) {
	d.entry.policy.latency.ObserveStall(d.request.call.Service, t.Name, silent, time.Now())
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
