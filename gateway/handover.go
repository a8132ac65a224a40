package gateway

import (
	"context"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// errStall is the cause that cancels an attempt whose target has sent nothing for too
// long, once another target has begun to send the rest.
var errStall = protocol.Errors.NewType("stall")

const (
	// alternativePollInterval is the interval at which a stalled stream checks whether there is
	// another target at all.
	alternativePollInterval = 100 * time.Millisecond
	// minTrialDelay and maxTrialDelay bound the delay before a stalled stream tries another
	// target again after one that had no room.
	minTrialDelay = 100 * time.Millisecond
	maxTrialDelay = 800 * time.Millisecond
)

// handover watches an attempt of a stream. If the target sends no event for too long, another
// target gets the rest of the stream as well, as a trial. The attempt goes on meanwhile: its target
// may only be busy, and the other one may have no room. Whichever sends the next event
// first keeps the stream, and the other run is dropped.
type handover struct {
	o      *onlineRequest
	target *fleet.Target
	// ctx is the context of the request, and end cancels the attempt.
	ctx context.Context
	end context.CancelCauseFunc
	// maxRuns is the number of trials that may be run besides the attempt.
	maxRuns int
	// begun is when the attempt began.
	begun time.Time
	// tried holds the IDs of targets that must not get a trial, and full those that
	// refused one lately. Only the trial in progress uses them, and backoff.
	tried   map[string]bool
	full    map[string]bool
	backoff pause.Backoff
	trials  sync.WaitGroup

	mu sync.Mutex
	// timer fires when the next trial is due. It is nil once the attempt has ended.
	timer *time.Timer
	// lastEvent is the ID of the last event that the caller has, and contentType the content
	// type of the answer that was begun, if isBegun is set.
	lastEvent   string
	contentType string
	isBegun     bool
	// events counts the times at which the attempt has sent events.
	events int
	// cancelTrial cancels the trial in progress. It is nil if there is none.
	cancelTrial context.CancelFunc
	// runs counts the trials that may have run, and records holds them and those that were refused;
	// neither includes the successor.
	runs    int
	records []attemptRecord
	// successor is set once another target has sent the next event.
	successor *successor
}

// successor is an attempt at another target, which has sent the first events that the attempt before
// owes.
type successor struct {
	choice balancing.Choice
	answer *fleet.Answer
	// body is the answer's body from its beginning.
	body   io.Reader
	ctx    context.Context
	cancel context.CancelCauseFunc
	// begun is when the attempt was sent, after the event lastEvent.
	begun          time.Time
	lastEvent      string
	suspectedParts []string
	tracked        *trackedAttempt
}

// newHandover returns a running handover of an attempt at the target, or one that does nothing if the
// request may not be resumed elsewhere. ctx is the context of the request, and end cancels the
// attempt.
func newHandover(ctx context.Context, o *onlineRequest, target *fleet.Target, end context.CancelCauseFunc) *handover {
	h := &handover{o: o, target: target, ctx: ctx, end: end, begun: time.Now(), maxRuns: o.route.MaxAttempts - o.possibleRuns - 1}
	if o.route.Kind != fleet.KindStream || !o.route.Resumable || h.maxRuns <= 0 {
		return h
	}
	h.tried, h.full = maps.Clone(o.tried), map[string]bool{}
	h.tried[target.ID] = true
	h.backoff = pause.Backoff{Min: minTrialDelay, Max: maxTrialDelay}
	h.lastEvent, h.contentType, h.isBegun = o.lastEvent, o.contentType, o.answerBegun
	timeout := firstEventTimeout(o.route)
	if o.answerBegun {
		timeout = nextEventTimeout
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.timer = time.AfterFunc(timeout, h.onTimeout)
	return h
}

// firstEventTimeout returns how long a stream waits for its first event from one target
// before another one gets it too.
func firstEventTimeout(r *fleet.Route) time.Duration {
	if r.LatencyObjective == 0 {
		return defaultFirstEventTimeout
	}
	return max(minFirstEventTimeout, time.Duration(float64(r.LatencyObjective)*firstEventShare))
}

// eventsReceived notes that the attempt has sent events that are about to be relayed, the last of
// them with the ID, and drops the trial in progress. It returns false if another target has sent
// the next event before: then the caller gets its events.
func (h *handover) eventsReceived(id, contentType string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	if id != "" {
		h.lastEvent = id
	}
	h.contentType, h.isBegun = contentType, true
	h.events++
	if h.cancelTrial != nil {
		h.cancelTrial()
	}
	if h.timer != nil {
		h.timer.Reset(nextEventTimeout)
	}
	return true
}

// close ends the handover of an attempt that has ended. If the stream must go on elsewhere, it waits
// for the trial in progress, and returns the successor, nil if there is none. Otherwise it drops
// them.
func (h *handover) close(goesOn bool) *successor {
	h.mu.Lock()
	if h.timer != nil {
		h.timer.Stop()
		h.timer = nil
	}
	if h.cancelTrial != nil && !goesOn {
		h.cancelTrial()
	}
	h.mu.Unlock()
	h.trials.Wait()
	h.o.possibleRuns += h.runs
	if h.successor != nil && !goesOn {
		h.successor.drop(h.o.g)
		return nil
	}
	return h.successor
}

// onTimeout makes a trial, unless one is in progress or none is left.
func (h *handover) onTimeout() {
	t := h.beginTrial()
	if t == nil {
		return
	}
	defer h.trials.Done()
	h.endTrial(t, t.run())
}

// beginTrial returns a trial that is to be made, nil if none is.
func (h *handover) beginTrial() *trial {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.timer == nil || h.runs >= h.maxRuns:
		return nil
	case h.cancelTrial != nil:
		h.timer.Reset(alternativePollInterval)
		return nil
	}
	t := &trial{handover: h, lastEvent: h.lastEvent, contentType: h.contentType, isBegun: h.isBegun, eventsBefore: h.events}
	t.ctx, t.cancel = context.WithCancelCause(h.ctx)
	h.cancelTrial = func() { t.cancel(nil) }
	h.trials.Add(1)
	return t
}

// endTrial ends the attempt if the trial was won, and otherwise sets the time of the next trial.
func (h *handover) endTrial(t *trial, delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cancelTrial = nil
	if s := t.successor; s != nil && t.ctx.Err() == nil {
		h.successor = s
		h.end(errStall.New("target sent no event in time, another one does"))
		return
	}
	if t.successor != nil {
		t.successor.drop(h.o.g)
	}
	t.cancel(nil)
	if t.ran {
		h.runs++
	}
	if h.timer != nil && t.eventsBefore == h.events {
		h.timer.Reset(delay)
	}
}

// drop ends the attempt of a successor that came too late.
func (s *successor) drop(g *Gateway) {
	s.cancel(nil)
	s.answer.Close()
	s.tracked.remove()
	g.table.End(s.choice.Target)
}

// goOn relays the answer of the successor.
func (o *onlineRequest) goOn(ctx context.Context, s *successor) error {
	defer s.cancel(nil)
	defer s.tracked.remove()
	defer s.answer.Close()
	o.tracked, o.attemptLastEvent, o.suspectedParts = s.tracked, s.lastEvent, s.suspectedParts
	h := newHandover(ctx, o, s.choice.Target, s.cancel)
	o.possibleRuns++
	if s.answer.Load != nil {
		o.meter.running = s.answer.Load.Running + s.answer.Load.Waiting
	}
	err := o.relayStream(s.ctx, s.choice.Target, s.answer, s.body, h)
	o.endHandover(h, err)
	return err
}

// endHandover ends the handover of an attempt that has ended with err.
func (o *onlineRequest) endHandover(h *handover, err error) {
	o.successor = h.close(errorx.IsOfType(err, errRetryElsewhere))
	o.trials = h.records
}

// isStalled reports whether the attempt was cancelled because another target sends the rest.
func isStalled(ctx context.Context) bool {
	return errorx.IsOfType(context.Cause(ctx), errStall)
}
