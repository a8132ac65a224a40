// Package hedging runs one attempt of a request, and opens a second one beside it
// when the first stalls. The attempt that delivers the next token first goes on
// and the other is cancelled, so that a caller gets every token once, in order,
// whichever target it came from.
package hedging

import (
	"context"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// Executor sends an attempt to a sidecar, passes its head and tokens to sink in
// order, and returns the end frame of a whole answer.
type Executor interface {
	Execute(ctx context.Context, addr string, a *protocol.AttemptRequest, sink func(*protocol.Frame) error) (*protocol.Frame, error)
}

// Params are what a race needs from its request.
type Params struct {
	Executor Executor
	// Build makes the attempt for a target, going on after the tokens in resume.
	Build func(t *routing.Target, resume []string) *protocol.AttemptRequest
	// HedgeTarget chooses a target for a second attempt, and reports false where no
	// second attempt may be made. It is nil for requests that must not be hedged.
	HedgeTarget func(first *routing.Target) (*routing.Target, bool)
	// StallTimeout returns how long the next token may take before the attempt counts as
	// stalled; first is set before the first token.
	StallTimeout func(first bool) (time.Duration, bool)
	// OnToken receives every token once; it may be nil.
	OnToken func(token string) error
	// OnProgress is told how long the target took for the token, counted from the
	// one before it or, with first set, from the start; it may be nil.
	OnProgress func(t *routing.Target, first bool, took time.Duration)
	// OnStalled is told of a target that was overtaken, and for how long it had
	// delivered nothing; it may be nil.
	OnStalled func(t *routing.Target, silent time.Duration)
}

// Outcome is how a race ended.
type Outcome struct {
	// Target and Attempt are those of the attempt that ended the race.
	Target  *routing.Target
	Attempt string
	Head    *protocol.Frame
	End     *protocol.Frame
	// Hedged is set where a second attempt was made.
	Hedged bool
	// MayHaveRun is set where some attempt of the race may have run, whatever Err
	// says of the one that ended it.
	MayHaveRun bool
	Err        error
}

// Runner is the state of one race. Tokens keeps what the caller already has over
// several races of the same request.
type Runner struct {
	Tokens []string

	params   Params
	frames   chan attemptFrame
	ends     chan attemptEnd
	attempts []*attempt
	// lastTokenAt is the time of the last token, or of the start.
	lastTokenAt time.Time
	hedges      int
	// mayHaveRun is set once an attempt ended that may have run.
	mayHaveRun bool
}

// MaxHedges bounds the second attempts of one race.
const MaxHedges = 2

// attempt is one attempt of the race.
type attempt struct {
	target  *routing.Target
	request *protocol.AttemptRequest
	cancel  context.CancelFunc
	head    *protocol.Frame
	// nextToken is the index of the token that the attempt delivers next.
	nextToken int
}

type attemptFrame struct {
	attempt *attempt
	frame   *protocol.Frame
}

type attemptEnd struct {
	attempt *attempt
	end     *protocol.Frame
	err     error
}

// New returns a race without tokens.
func New(p Params) *Runner { return &Runner{params: p} }

// Run races on the first target until an attempt ends it.
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
		case <-ctx.Done(): // a leg may drop its end once its context has ended
			return r.outcome(attemptEnd{attempt: r.attempts[0], err: protocol.ErrTruncated.Wrap(ctx.Err(), "attempt")})
		}
	}
}

func (r *Runner) start(ctx context.Context, t *routing.Target) {
	ctx, cancel := context.WithCancel(ctx)
	resume := append([]string(nil), r.Tokens...)
	l := &attempt{target: t, request: r.params.Build(t, resume), cancel: cancel, nextToken: len(resume)}
	r.attempts = append(r.attempts, l)
	frames, ends := r.frames, r.ends // an overtaken attempt may outlive this run
	t.InFlight.Add(1)
	go func() {
		defer cancel()
		end, err := r.params.Executor.Execute(ctx, t.HTTP, l.request, func(f *protocol.Frame) error {
			select {
			case frames <- attemptFrame{l, f}:
				return nil
			case <-ctx.Done():
				return protocol.ErrTruncated.New("the attempt was given up")
			}
		})
		t.InFlight.Add(-1)
		ends <- attemptEnd{l, end, err} // has room for every attempt
	}()
}

// resetStallTimer sets the timer to the time at which the race counts as stalled.
func (r *Runner) resetStallTimer(timer *time.Timer) {
	if r.params.HedgeTarget == nil || len(r.attempts) > 1 || r.hedges == MaxHedges {
		timer.Stop()
		return
	}
	wait, known := r.params.StallTimeout(len(r.Tokens) == 0)
	if !known {
		timer.Stop()
		return
	}
	timer.Reset(wait)
}

// handleFrame accepts a frame. A token that another attempt delivered already is
// dropped; the first attempt to deliver the next one overtakes the other.
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

// cancelOthers cancels every other attempt.
func (r *Runner) cancelOthers(winner *attempt) {
	r.mayHaveRun = true
	for _, l := range r.attempts {
		if l == winner {
			continue
		}
		l.cancel()
		if r.params.OnStalled != nil {
			r.params.OnStalled(l.target, time.Since(r.lastTokenAt))
		}
	}
	r.attempts = []*attempt{winner}
}

// endsRun reports whether the end of an attempt ends the race: a whole answer, or
// the failure of the only attempt left.
func (r *Runner) endsRun(e attemptEnd) bool {
	found := false
	var rest []*attempt
	for _, l := range r.attempts {
		if l == e.attempt {
			found = true
			continue
		}
		rest = append(rest, l)
	}
	if !found {
		return false // it was overtaken
	}
	if e.err == nil && e.attempt.nextToken == len(r.Tokens) {
		return true
	}
	r.mayHaveRun = r.mayHaveRun || e.err == nil || protocol.OutcomeOf(e.err) == protocol.OutcomeUnknown
	r.attempts = rest
	return len(rest) == 0
}

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
		o.Err = protocol.ErrTruncated.New("the answer ended after %d of %d tokens", e.attempt.nextToken, len(r.Tokens))
	}
	return o
}
