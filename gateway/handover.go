package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
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
	// runs counts the trials that may have run, without the successor. records holds all trials.
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
	t := &trial{handover: h, lastEvent: h.lastEvent, contentType: h.contentType, isBegun: h.isBegun, after: h.events}
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
	if h.timer != nil && t.after == h.events {
		h.timer.Reset(delay)
	}
}

// trial is an attempt to get the rest of a stream from another target.
type trial struct {
	*handover
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastEvent, contentType and isBegun are those of the handover when the trial began, and
	// after is its number of events by then.
	lastEvent   string
	contentType string
	isBegun     bool
	after       int
	// ran is set if the target may have run the trial, and successor once it has sent an event.
	ran       bool
	successor *successor
}

// run makes the trial. It returns the delay before the next one.
func (t *trial) run() time.Duration {
	if !t.isBegun && time.Since(t.begun) < nextEventTimeout && t.hasSlot() {
		return alternativePollInterval
	}
	choice, found := t.choose()
	if !found {
		return alternativePollInterval
	}
	g, begun := t.o.g, time.Now()
	record := attemptRecord{choice: choice, after: t.lastEvent, timeLeft: t.o.timeLeft()}
	record.targetsAge, _ = g.targetTail.Age()
	s := &successor{choice: choice, ctx: t.ctx, cancel: t.cancel, begun: begun, lastEvent: t.lastEvent}
	s.suspectedParts = g.crashes.suspectedParts(t.o.request)
	s.tracked = g.inFlight.add(choice.Target, t.cancel)
	record.err = t.send(s)
	if record.err == nil {
		t.successor = s
		return 0
	}
	s.tracked.remove()
	g.table.End(choice.Target)
	if t.ctx.Err() == nil || hasTargetEnded(t.ctx) {
		t.noteFailure(s, record.err)
	}
	record.took = time.Since(begun)
	t.records = append(t.records, record)
	g.metrics.attempts.WithLabelValues(outcomeOf(record.err)).Inc()
	return t.backoff.Next()
}

// hasSlot reports whether the target is known to have a slot for each of its requests: then it has
// begun this one and is slow, and may go on with it when another target gets it as well.
func (t *trial) hasSlot() bool {
	g := t.o.g
	if g.params.LoadQuerier == nil || g.unresponsive.has(time.Now(), t.o.service) {
		return false
	}
	answers := g.params.LoadQuerier.QueryLoads(t.ctx, []string{g.batcherAddress(t.target)}, loadQueryTimeout)
	return len(answers) == 1 && answers[0].Target == t.target.ID && answers[0].Online <= t.target.Slots
}

// choose chooses the target of the trial. Unless the stream has waited for long, a target that
// has no room is no better than the one where it waits.
func (t *trial) choose() (balancing.Choice, bool) {
	g := t.o.g
	tried := maps.Clone(t.tried)
	maps.Copy(tried, t.full)
	targets := g.targets.Current().Services[t.o.service]
	choice, found := t.o.chooseByLoad(t.ctx, targets, tried)
	if !found {
		choice, found = g.table.Begin(targets, tried)
	}
	if !found {
		clear(t.full)
		return choice, false
	}
	if !t.isBegun && choice.RoomKnown && choice.Room <= 0 && time.Since(t.begun) < nextEventTimeout {
		g.table.End(choice.Target)
		return choice, false
	}
	if choice.ProbeAnswers > 0 {
		g.params.LoadQuerier.AnnounceRequest(g.batcherAddress(choice.Target))
	}
	return choice, true
}

// send sends the rest of the stream to the target of s and reads the first events of its answer.
func (t *trial) send(s *successor) error {
	g, target := t.o.g, s.choice.Target
	request, err := t.o.requestForTrial(t.ctx)
	if err != nil {
		return errNotRun.Wrap(err, "trial")
	}
	answer, err := g.params.Sender.Send(t.ctx, fleet.Attempt{Request: request, Target: target, LastEventID: t.lastEvent, TimeLeft: t.o.timeLeft()})
	if err != nil {
		t.ran = !errorx.IsOfType(err, fleet.ErrNotDelivered) && !errorx.IsOfType(err, fleet.ErrMalformed)
		return errNoAnswer.Wrap(err, "no answer")
	}
	g.recordHead(target, answer)
	if answer.Verdict == fleet.VerdictNotRun || answer.Verdict == fleet.VerdictWrongTarget {
		answer.Discard()
		return t.noteNotRun(target, answer.Verdict)
	}
	t.ran = true
	if err := t.check(answer); err != nil {
		answer.Close()
		return err
	}
	s.answer = answer
	if s.body, err = t.readFirstEvents(s); err != nil {
		answer.Close()
		return errTruncatedAnswer.Wrap(err, "answer broke off")
	}
	return nil
}

// noteNotRun notes that the target has not run the trial.
func (t *trial) noteNotRun(target *fleet.Target, verdict fleet.Verdict) error {
	if verdict == fleet.VerdictNotRun {
		t.full[target.ID] = true
		return errNotRun.New("target refused the request without running it")
	}
	t.tried[target.ID] = true
	t.o.g.targets.RemoveIncarnation(target)
	t.o.g.askBeside(t.ctx, target)
	return errOtherIncarnation.New("another incarnation answered at the target's address")
}

// check returns an error if the answer can't be the rest of the stream.
func (t *trial) check(answer *fleet.Answer) error {
	contentType := answer.Header.Get("Content-Type")
	switch {
	case answer.Verdict == fleet.VerdictForeign:
		return errForeignAnswer.New("answer belongs to another request")
	case !answer.Signed:
		return errUnsignedAnswer.New("unsigned answer with status %d", answer.Status)
	case answer.Status != http.StatusOK:
		return errTargetFailed.New("target answered with status %d", answer.Status)
	case t.isBegun && contentType != t.contentType:
		return errTruncatedAnswer.New("target resumed a stream of type %q with one of type %q", t.contentType, contentType)
	}
	return nil
}

// readFirstEvents reads the answer until it has sent an event that follows the last one, or has
// ended. It returns the body from its beginning.
func (t *trial) readFirstEvents(s *successor) (io.Reader, error) {
	var splitter eventstream.Splitter
	var read bytes.Buffer
	sequence := eventstream.After(t.lastEvent)
	buffer := make([]byte, streamBufferBytes)
	for {
		n, err := s.answer.Body.Read(buffer)
		s.tracked.heard()
		read.Write(buffer[:n])
		events, oversized := splitter.Add(buffer[:n])
		if oversized != nil {
			return nil, oversized
		}
		if following := sequence.FollowingLen(events); following < len(events) {
			return nil, fleet.ErrOutOfOrder.New("an event does not follow event %q", t.lastEvent)
		}
		hasEnded := errors.Is(err, io.EOF) && !splitter.EndsWithinEvent()
		if hasEnded || eventstream.HasContent(events) {
			return io.MultiReader(&read, s.answer.Body), nil
		}
		if err != nil {
			return nil, fleet.ErrAnswerBroken.Wrap(err, "stream")
		}
	}
}

// noteFailure notes that the trial failed at its target.
func (t *trial) noteFailure(s *successor, failure error) {
	if errorx.IsOfType(failure, errNotRun) || errorx.IsOfType(failure, errOtherIncarnation) {
		return
	}
	t.tried[s.choice.Target.ID] = true
	t.o.g.table.RecordFailure(s.choice.Target)
	if t.ran {
		t.o.g.recordBreak(t.o.request, s.choice.Target, false, s.suspectedParts)
	}
}

// drop ends the attempt of a successor that came too late.
func (s *successor) drop(g *Gateway) {
	s.cancel(nil)
	s.answer.Close()
	s.tracked.remove()
	g.table.End(s.choice.Target)
}

// requestForTrial returns the request for an attempt beside the current one, unless it must not be
// sent to targets any more.
func (o *onlineRequest) requestForTrial(ctx context.Context) (*fleet.Request, error) {
	if err := o.g.checkQuarantine(o.request); err != nil {
		return nil, err
	}
	workspace, err := o.currentWorkspace(ctx)
	if err != nil {
		return nil, err
	}
	request := *o.request
	request.Workspace = workspace
	return &request, nil
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
