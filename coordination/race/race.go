// Package race runs one attempt of a request, and opens a second one beside it
// when the first stalls. The attempt that delivers the next token first goes on
// and the other is cancelled, so that a caller gets every token once, in order,
// whichever target it came from.
package race

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
	// Second chooses a target for a second attempt, and reports false where no
	// second attempt may be made. It is nil for requests that must not be hedged.
	Second func(first *routing.Target) (*routing.Target, bool)
	// Wait returns how long the next token may take before the attempt counts as
	// stalled; first is set before the first token.
	Wait func(first bool) (time.Duration, bool)
	// Token receives every token once; it may be nil.
	Token func(token string) error
	// Progress is told how long the target took for the token, counted from the
	// one before it or, with first set, from the start; it may be nil.
	Progress func(t *routing.Target, first bool, took time.Duration)
	// Stalled is told of a target that was overtaken, and for how long it had
	// delivered nothing; it may be nil.
	Stalled func(t *routing.Target, silent time.Duration)
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

// Race is the state of one race. Tokens keeps what the caller already has over
// several races of the same request.
type Race struct {
	Tokens []string

	params Params
	frames chan legFrame
	ends   chan legEnd
	legs   []*leg
	// moved is the time of the last token, or of the start.
	moved  time.Time
	hedges int
	// mayHaveRun is set once an attempt ended that may have run.
	mayHaveRun bool
}

// MaxHedges bounds the second attempts of one race.
const MaxHedges = 2

// leg is one attempt of the race.
type leg struct {
	target  *routing.Target
	attempt *protocol.AttemptRequest
	cancel  context.CancelFunc
	head    *protocol.Frame
	// next is the index of the token that the attempt delivers next.
	next int
}

type legFrame struct {
	leg   *leg
	frame *protocol.Frame
}

type legEnd struct {
	leg *leg
	end *protocol.Frame
	err error
}

// New returns a race without tokens.
func New(p Params) *Race { return &Race{params: p} }

// Run races on the first target until an attempt ends it.
func (r *Race) Run(ctx context.Context, first *routing.Target) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.frames, r.ends, r.legs, r.hedges = make(chan legFrame), make(chan legEnd, 1+MaxHedges), nil, 0
	r.mayHaveRun = false
	r.moved = time.Now()
	r.launch(ctx, first)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	r.arm(timer)
	for {
		select {
		case f := <-r.frames:
			if err := r.take(f); err != nil {
				return r.outcome(legEnd{leg: f.leg, err: err})
			}
			r.arm(timer)
		case e := <-r.ends:
			if r.isLast(e) {
				return r.outcome(e)
			}
		case <-timer.C:
			r.hedge(ctx)
		case <-ctx.Done(): // a leg may drop its end once its context has ended
			return r.outcome(legEnd{leg: r.legs[0], err: protocol.ErrTruncated.Wrap(ctx.Err(), "attempt")})
		}
	}
}

func (r *Race) launch(ctx context.Context, t *routing.Target) {
	ctx, cancel := context.WithCancel(ctx)
	resume := append([]string(nil), r.Tokens...)
	l := &leg{target: t, attempt: r.params.Build(t, resume), cancel: cancel, next: len(resume)}
	r.legs = append(r.legs, l)
	frames, ends := r.frames, r.ends // an overtaken attempt may outlive this run
	t.InFlight.Add(1)
	go func() {
		defer cancel()
		end, err := r.params.Executor.Execute(ctx, t.HTTP, l.attempt, func(f *protocol.Frame) error {
			select {
			case frames <- legFrame{l, f}:
				return nil
			case <-ctx.Done():
				return protocol.ErrTruncated.New("the attempt was given up")
			}
		})
		t.InFlight.Add(-1)
		ends <- legEnd{l, end, err} // has room for every attempt
	}()
}

// arm sets the timer to the time at which the race counts as stalled.
func (r *Race) arm(timer *time.Timer) {
	if r.params.Second == nil || len(r.legs) > 1 || r.hedges == MaxHedges {
		timer.Stop()
		return
	}
	wait, known := r.params.Wait(len(r.Tokens) == 0)
	if !known {
		timer.Stop()
		return
	}
	timer.Reset(wait)
}

// take accepts a frame. A token that another attempt delivered already is
// dropped; the first attempt to deliver the next one overtakes the other.
func (r *Race) take(f legFrame) error {
	if f.frame.Kind == protocol.FrameHead {
		f.leg.head = f.frame
		return nil
	}
	index := f.leg.next
	f.leg.next++
	if index != len(r.Tokens) {
		return nil
	}
	r.overtake(f.leg)
	now := time.Now()
	if r.params.Progress != nil {
		r.params.Progress(f.leg.target, len(r.Tokens) == 0, now.Sub(r.moved))
	}
	r.Tokens = append(r.Tokens, f.frame.Token)
	r.moved = now
	if r.params.Token == nil {
		return nil
	}
	return r.params.Token(f.frame.Token)
}

// overtake cancels every other attempt.
func (r *Race) overtake(winner *leg) {
	r.mayHaveRun = true
	for _, l := range r.legs {
		if l == winner {
			continue
		}
		l.cancel()
		if r.params.Stalled != nil {
			r.params.Stalled(l.target, time.Since(r.moved))
		}
	}
	r.legs = []*leg{winner}
}

// isLast reports whether the end of an attempt ends the race: a whole answer, or
// the failure of the only attempt left.
func (r *Race) isLast(e legEnd) bool {
	found := false
	var rest []*leg
	for _, l := range r.legs {
		if l == e.leg {
			found = true
			continue
		}
		rest = append(rest, l)
	}
	if !found {
		return false // it was overtaken
	}
	if e.err == nil && e.leg.next == len(r.Tokens) {
		return true
	}
	r.mayHaveRun = r.mayHaveRun || e.err == nil || protocol.OutcomeOf(e.err) == protocol.OutcomeUnknown
	r.legs = rest
	return len(rest) == 0
}

func (r *Race) hedge(ctx context.Context) {
	t, ok := r.params.Second(r.legs[0].target)
	if !ok {
		return
	}
	r.hedges++
	r.launch(ctx, t)
}

func (r *Race) outcome(e legEnd) Outcome {
	o := Outcome{Target: e.leg.target, Attempt: e.leg.attempt.Attempt, Head: e.leg.head, End: e.end, Hedged: r.hedges > 0, MayHaveRun: r.mayHaveRun, Err: e.err}
	if e.err == nil && e.leg.next != len(r.Tokens) {
		o.Err = protocol.ErrTruncated.New("the answer ended after %d of %d tokens", e.leg.next, len(r.Tokens))
	}
	return o
}
