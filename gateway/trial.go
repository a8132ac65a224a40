package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// trial is an attempt to get the rest of a stream from another target.
type trial struct {
	*handover
	ctx    context.Context
	cancel context.CancelCauseFunc
	// lastEvent, contentType and isBegun are those of the handover when the trial began, and
	// eventsBefore is its number of events by then.
	lastEvent    string
	contentType  string
	isBegun      bool
	eventsBefore int
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
	g.metrics.countAttempt(record.err)
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
// ended. It returns the body from its beginning. What comes before an event is bounded like the event.
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
		if read.Len() > fleet.MaxEventBytes+streamBufferBytes {
			return nil, fleet.ErrOversizedEvent.New("%d bytes without an event", read.Len())
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
