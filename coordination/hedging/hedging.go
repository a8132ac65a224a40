// Package hedging runs one attempt of a request and starts a second one beside it
// when the first stalls. The attempt that delivers the next token first continues
// and the other is cancelled, so that a caller gets every token once, in order,
// whichever target it came from. When to hedge is decided by package hedge.
package hedging

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Executor sends an attempt to a sidecar, passes its head and tokens to sink in
// order, and returns the end frame of a complete answer.
type Executor interface {
	Execute(ctx context.Context, addr string, a *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error)
}

// Params are the parameters of a Runner.
type Params struct {
	Executor Executor
	// Build returns the attempt for a target. The attempt continues after the
	// tokens in resume.
	Build func(t *routing.Target, resume []string) *protocol.AttemptRequest
	// HedgeTarget chooses the target of a second attempt, and reports false if no
	// second attempt may be made. It is nil for requests that must not be hedged.
	HedgeTarget func(first *routing.Target) (*routing.Target, bool)
	// StallTimeout returns how long the next token may take before the attempt
	// counts as stalled, and false if that is not known. first is true before the
	// first token.
	StallTimeout func(first bool) (time.Duration, bool)
	// OnToken is called once with every token; it may be nil.
	OnToken func(token string) error
	// OnProgress is called with the time that the target took for a token, measured
	// from the previous token or, if first is true, from the start. It may be nil.
	OnProgress func(t *routing.Target, first bool, took time.Duration)
	// OnStalled is called with the target of an attempt that was cancelled because
	// another one delivered the next token first, and with the time for which it
	// had delivered nothing. It may be nil.
	OnStalled func(t *routing.Target, silent time.Duration)
}

// Outcome is the result of a run.
type Outcome struct {
	// Target and Attempt are those of the attempt that ended the run.
	Target  *routing.Target
	Attempt string
	Head    *protocol.Frame
	End     *protocol.Frame
	// Hedged is true if a second attempt was made.
	Hedged bool
	// MayHaveRun is true if any attempt of the run may have been executed, whatever
	// Err says about the attempt that ended the run.
	MayHaveRun bool
	Err        error
}

// Runner runs the attempts of one request. Tokens holds the tokens that the
// caller already has, across several runs of the same request.
type Runner struct {
	Tokens []string

	params   Params
	frames   chan attemptFrame
	ends     chan attemptEnd
	attempts []*attempt
	// lastTokenAt is the time of the last token, or of the start before the first.
	lastTokenAt time.Time
	hedges      int
	// mayHaveRun is true once an attempt that may have been executed has ended.
	mayHaveRun bool
}

// MaxHedges is the maximum number of second attempts in one run.
const MaxHedges = 2

// attempt is one attempt of the current run.
type attempt struct {
	target  *routing.Target
	request *protocol.AttemptRequest
	cancel  context.CancelFunc
	head    *protocol.Frame
	// nextToken is the index of the token that the attempt delivers next.
	nextToken int
}

// attemptFrame is a frame that an attempt received.
type attemptFrame struct {
	attempt *attempt
	frame   *protocol.Frame
}

// attemptEnd is the end of an attempt: its end frame or its error.
type attemptEnd struct {
	attempt *attempt
	end     *protocol.Frame
	err     error
}

// New returns a Runner without tokens.
func New(p Params) *Runner { return &Runner{params: p} }

// Run starts an attempt at the first target, hedges it when it stalls, and returns
// when an attempt ends the run or ctx ends.
func (r *Runner) Run(ctx context.Context, first *routing.Target) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.frames, r.ends, r.attempts, r.hedges = make(chan attemptFrame), make(chan attemptEnd, 1+MaxHedges), nil, 0
	r.mayHaveRun = false
	r.lastTokenAt = time.Now()
	r.start(ctx, first)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.resetStallTimer(timer)
	for {
		select {
		case f := <-r.frames:
			if err := r.handleFrame(f); err != nil {
				return r.outcome(attemptEnd{attempt: f.attempt, err: err})
			}
			r.resetStallTimer(timer)
		case e := <-r.ends:
			if r.endsRun(e) {
				return r.outcome(e)
			}
		case <-timer.C:
			r.startHedge(ctx)
		case <-ctx.Done(): // an attempt may drop its end once its context has ended
			return r.outcome(attemptEnd{attempt: r.attempts[0], err: protocol.ErrTruncated.Wrap(ctx.Err(), "attempt")})
		}
	}
}

// start starts an attempt at a target.
func (r *Runner) start(ctx context.Context, t *routing.Target) {
	ctx, cancel := context.WithCancel(ctx)
	resume := append([]string(nil), r.Tokens...)
	a := &attempt{target: t, request: r.params.Build(t, resume), cancel: cancel, nextToken: len(resume)}
	r.attempts = append(r.attempts, a)
	frames, ends := r.frames, r.ends // a cancelled attempt may outlive this run
	t.InFlight.Add(1)
	go func() {
		defer cancel()
		end, err := r.params.Executor.Execute(ctx, t.HTTP, a.request, func(f *protocol.Frame) error {
			select {
			case frames <- attemptFrame{a, f}:
				return nil
			case <-ctx.Done():
				return protocol.ErrTruncated.New("attempt cancelled")
			}
		})
		t.InFlight.Add(-1)
		ends <- attemptEnd{a, end, err} // buffered for every attempt of the run
	}()
}

// resetStallTimer sets the timer to the time at which the attempt counts as
// stalled. It stops the timer if no second attempt may be made or if the stall
// timeout is not known.
func (r *Runner) resetStallTimer(timer *time.Timer) {
	if r.params.HedgeTarget == nil || len(r.attempts) > 1 || r.hedges == MaxHedges {
		timer.Stop()
		return
	}
	timeout, known := r.params.StallTimeout(len(r.Tokens) == 0)
	if !known {
		timer.Stop()
		return
	}
	timer.Reset(timeout)
}

// handleFrame handles a frame. A token that another attempt has delivered already
// is dropped; the first attempt that delivers the next token cancels the other.
func (r *Runner) handleFrame(f attemptFrame) error {
	if f.frame.Kind == protocol.FrameHead {
		f.attempt.head = f.frame
		return nil
	}
	index := f.attempt.nextToken
	f.attempt.nextToken++
	if index != len(r.Tokens) {
		return nil
	}
	r.cancelOthers(f.attempt)
	now := time.Now()
	if r.params.OnProgress != nil {
		r.params.OnProgress(f.attempt.target, len(r.Tokens) == 0, now.Sub(r.lastTokenAt))
	}
	r.Tokens = append(r.Tokens, f.frame.Token)
	r.lastTokenAt = now
	if r.params.OnToken == nil {
		return nil
	}
	return r.params.OnToken(f.frame.Token)
}

// cancelOthers cancels every attempt but the winner.
func (r *Runner) cancelOthers(winner *attempt) {
	r.mayHaveRun = true
	for _, a := range r.attempts {
		if a == winner {
			continue
		}
		a.cancel()
		if r.params.OnStalled != nil {
			r.params.OnStalled(a.target, time.Since(r.lastTokenAt))
		}
	}
	r.attempts = []*attempt{winner}
}

// endsRun reports whether the end of an attempt ends the run: a complete answer, or
// the failure of the last attempt.
func (r *Runner) endsRun(e attemptEnd) bool {
	found := false
	var rest []*attempt
	for _, a := range r.attempts {
		if a == e.attempt {
			found = true
			continue
		}
		rest = append(rest, a)
	}
	if !found {
		return false // cancelled by an attempt that delivered a token first
	}
	if e.err == nil && e.attempt.nextToken == len(r.Tokens) {
		return true
	}
	r.mayHaveRun = r.mayHaveRun || e.err == nil || protocol.OutcomeOf(e.err) == protocol.OutcomeUnknown
	r.attempts = rest
	return len(rest) == 0
}

// startHedge starts a second attempt if HedgeTarget allows one.
func (r *Runner) startHedge(ctx context.Context) {
	t, ok := r.params.HedgeTarget(r.attempts[0].target)
	if !ok {
		return
	}
	r.hedges++
	r.start(ctx, t)
}

func (r *Runner) outcome(e attemptEnd) Outcome {
	o := Outcome{Target: e.attempt.target, Attempt: e.attempt.request.Attempt, Head: e.attempt.head, End: e.end, Hedged: r.hedges > 0, MayHaveRun: r.mayHaveRun, Err: e.err}
	if e.err == nil && e.attempt.nextToken != len(r.Tokens) {
		o.Err = protocol.ErrTruncated.New("answer ended after %d of the %d tokens delivered before", e.attempt.nextToken, len(r.Tokens))
	}
	return o
}
