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

// order is one request on its way to a target.
type order struct {
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
	// named is set where the caller chose the key, and may have sent it before.
	named bool
	// token receives each token of a model's answer; it may be nil.
	token func(string) error
}

// retryPause is the longest pause before the second attempt; it doubles with
// each further one.
const retryPause = 10 * time.Millisecond

// dispatch runs the order on targets until one gives a whole answer or no
// further attempt is allowed.
func (e *Entry) dispatch(ctx context.Context, o *order) (*protocol.Result, error) {
	run := newDispatchRun(ctx, e, o)
	e.policy.earn()
	var err error
	for n := 0; n < run.allowed(); n++ {
		if n > 0 && !run.again(ctx, n, err) {
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
	return nil, run.verdict(err)
}

// moveAttempts is the number of further attempts of a request that was moved.
const moveAttempts = 4

// allowed returns how many attempts the request may make. One that gave its slot
// to shorter work must not fail for it.
func (d *dispatchRun) allowed() int {
	return d.entry.settings.Entry.Attempts + moveAttempts*d.moves
}

// verdict returns the error of a request whose last attempt failed with err. A
// refusal is not the whole truth where another attempt may have run.
func (d *dispatchRun) verdict(err error) error {
	if !d.mayHaveRun || protocol.OutcomeOf(err) != protocol.OutcomeNotRun || errorx.IsOfType(err, protocol.ErrBadRequest) {
		return err
	}
	return protocol.ErrOutcomeUnknown.Wrap(err, "an earlier attempt may have run; the last one")
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
	// moves counts how often a target gave the request's slot to shorter work.
	moves int
	// patient is set once the request waits for a slot where it is sent; before,
	// targets without one refuse it.
	patient  bool
	entry    *Entry
	order    *order
	tried    map[string]bool
	race     *hedging.Runner
	pace     *pace
	steps    stepSample
	deadline time.Time
	// crashed is set once a target crashed under the request.
	crashed bool
	// mayHaveRun is set once an attempt ended that may have run.
	mayHaveRun bool
}

func newDispatchRun(ctx context.Context, e *Entry, o *order) *dispatchRun {
	d := &dispatchRun{entry: e, order: o, tried: map[string]bool{}, pace: e.policy.paceOf(o.call.Service)}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(protocol.DefaultRequestTimeout)
	}
	d.deadline = deadline
	p := hedging.Params{Executor: e.attempts, Build: d.build, StallTimeout: d.pace.wait, OnToken: o.token, OnProgress: d.progress, OnStalled: d.stalled}
	if o.repeatable && !e.settings.Policy.NoHedges {
		p.HedgeTarget = d.second
	}
	d.patient = e.settings.Policy.NoProbes || !e.policy.retries.Available()
	d.race = hedging.New(p)
	return d
}

// again spends one retry after err and pauses before it. A retry after the loss
// of a target costs no budget: those requests are as few as the target's slots,
// after a crash the quarantine bounds them, and moves are few. The second half of
// the attempts waits for a slot.
func (d *dispatchRun) again(ctx context.Context, n int, err error) bool {
	probed := !d.patient && errorx.IsOfType(err, protocol.ErrBusy)
	d.patient = d.patient || n >= d.entry.settings.Entry.Attempts/2
	if !d.crashed && d.moves == 0 && !lostTarget(err) && !d.entry.policy.retries.TryWithdraw() {
		// Without a retry to spend, a request that was only looking for a free slot
		// waits for one.
		d.patient = true
		return probed
	}
	d.patient = d.patient || !d.entry.policy.retries.Available() // no further look would be paid
	d.entry.metrics.retries.Inc()
	if !probed {
		pause.For(ctx, time.Duration(rand.Int64N(int64(retryPause<<n))))
	}
	return true
}

// lostTarget reports whether err shows that the target or the way to it has
// gone, rather than that it has too much to do: a target that stalls may have.
func lostTarget(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrLeaving) ||
		errorx.IsOfType(err, protocol.ErrConnectionLost) || errorx.IsOfType(err, protocol.ErrMoved)
}

// attempt runs the order once, or twice beside each other where the first stalls.
func (d *dispatchRun) attempt(ctx context.Context) (*protocol.Result, error) {
	if err := d.entry.checkQuarantine(d.order.fingerprint); err != nil {
		return nil, err
	}
	target, err := d.awaitTarget(ctx)
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	out := d.race.Run(ctx, target)
	if out.Err == nil {
		if !d.order.call.Model {
			d.pace.observe(true, time.Since(begun))
		}
		d.entry.members.Observe(out.Target.Instance, out.End.Report)
		return d.result(&out), nil
	}
	d.tried[out.Target.Name] = true
	d.mayHaveRun = d.mayHaveRun || d.order.repeatable && out.MayHaveRun // others are settled
	if errorx.IsOfType(out.Err, protocol.ErrMoved) {
		d.moves++
	}
	d.crashed = d.crashed || errorx.IsOfType(out.Err, protocol.ErrTargetCrashed)
	d.entry.ring.Add(d.order.trace, "attempt failed", "attempt", out.Attempt, "target", out.Target.Name, "error", protocol.ProblemOf(out.Err).Title)
	if !d.order.repeatable && protocol.OutcomeOf(out.Err) != protocol.OutcomeNotRun {
		return d.entry.settle(d.order, out.Attempt, out.Err)
	}
	return nil, out.Err
}

// build makes the attempt for a target.
func (d *dispatchRun) build(t *routing.Target, resume []string) *protocol.AttemptRequest {
	e, o := d.entry, d.order
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
		NoWait:         !d.patient,
		TimeLeftMillis: time.Until(d.deadline).Milliseconds(),
		Coordinator:    e.settings.Process.Peer,
		Clock:          e.ring.Clock().Now(),
	}
	// The sidecar observes the clock of the attempt, not that of a later event.
	e.ring.AddAt(a.Clock, o.trace, "attempt sent", "attempt", a.Attempt, "target", t.Name)
	return a
}

// targetWait bounds the wait for a target to become ready: a replaced target is
// known as ready within the interval of reports.
const targetWait = protocol.HeartbeatTimeout

// awaitTarget picks a target, waiting a while where none is ready: as long as the
// request may take where a crash took one from it, since all may be restarting.
// It fails with ErrNoTarget.
func (d *dispatchRun) awaitTarget(ctx context.Context) (*routing.Target, error) {
	published := d.entry.members.Published()
	target, err := d.pick()
	if err == nil {
		return target, nil
	}
	if !d.crashed {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, targetWait)
		defer cancel()
	}
	for {
		select {
		case <-published:
		case <-ctx.Done():
			return nil, err
		}
		published = d.entry.members.Published()
		if target, err = d.pick(); err == nil {
			return target, nil
		}
	}
}

// pick chooses a target not yet tried, and starts over once all were.
func (d *dispatchRun) pick() (*routing.Target, error) {
	target, err := d.choose(d.tried)
	if err != nil && len(d.tried) > 0 {
		clear(d.tried)
		target, err = d.choose(d.tried)
	}
	return target, err
}

func (d *dispatchRun) choose(tried map[string]bool) (*routing.Target, error) {
	query := routing.Query{Selector: d.order.service.Selector, Tried: tried, AffinityKey: d.order.affinity}
	return d.entry.members.Table().Pick(query, d.entry.config.Current(), d.entry.policy.routing)
}

// second chooses a target beside a stalled one, within the budget of hedges. To
// leave a target that is ejected as slow costs no budget: those requests are as
// few as the target's slots.
func (d *dispatchRun) second(first *routing.Target) (*routing.Target, bool) {
	others := map[string]bool{first.Name: true}
	for name := range d.tried {
		others[name] = true
	}
	target, err := d.choose(others)
	if err != nil || !d.entry.policy.ejected(first.Name) && !d.entry.policy.hedges.TryWithdraw() {
		return nil, false
	}
	d.entry.metrics.hedges.Inc()
	d.entry.ring.Add(d.order.trace, "attempt hedged", "stalled", first.Name, "target", target.Name)
	return target, true
}

// progress learns from the pace of an answer.
func (d *dispatchRun) progress(t *routing.Target, first bool, took time.Duration) {
	d.pace.observe(first, took)
	if step, full := d.steps.add(t.Name, first, took); full {
		d.entry.policy.latency.Observe(d.order.call.Service, t.Name, step, time.Now())
	}
}

// stalled counts against a target that another one overtook.
func (d *dispatchRun) stalled(t *routing.Target, silent time.Duration) {
	d.entry.policy.latency.ObserveStall(d.order.call.Service, t.Name, silent, time.Now())
}

func (d *dispatchRun) result(out *hedging.Outcome) *protocol.Result {
	if d.order.call.Model {
		return chatResult(d.order, d.race.Tokens)
	}
	return &protocol.Result{
		Outcome:     protocol.OutcomeCompleted,
		Status:      out.Head.Status,
		ContentType: out.Head.ContentType,
		Body:        out.Head.Body,
	}
}
