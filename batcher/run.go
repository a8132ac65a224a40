package batcher

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/jobroute"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// brokenRunDelay is the delay before an item whose run broke off is run again.
	brokenRunDelay = 100 * time.Millisecond
	// eventTimeout bounds the time between two events of a run.
	eventTimeout = 5 * time.Second
	// readBufferBytes is the size of the buffer for reads from the target.
	readBufferBytes = 8 << 10
)

// startRun starts a run of the item, unless the configuration cannot tell its route. mu must
// be held.
func (b *Batcher) startRun(ctx context.Context, h *heldItem, now time.Time) {
	config := b.configs.Current()
	route, standing := jobroute.Find(config, h.job)
	if standing == jobroute.Undecided {
		return
	}
	ctx, cancel := context.WithCancelCause(ctx)
	h.cancel = cancel
	h.startedAt = now
	h.dropSpoiledProgress()
	h.eventsAtStart = h.progress.Events
	target := &fleet.Target{ID: b.targetID, Address: b.params.Node.TargetAddress}
	progress := h.progress
	serves := route != nil && route.Serves(b.targetService())
	b.tomb.Go(func() error {
		defer cancel(nil)
		var end runOutcome
		switch {
		case standing == jobroute.Removed:
			end = removedRouteOutcome(h, progress, config.Version)
		case !serves:
			end = b.unservedOutcome(h, progress, route)
		default:
			end = b.runItem(ctx, h, target, route, progress)
			b.giveUpExpired(ctx, h, route, &end)
		}
		b.handleRunEnd(ctx, h, end)
		return nil
	})
}

// runOutcome is how a run ended.
type runOutcome struct {
	progress worklog.Progress
	// result is set if the item has ended.
	result *fleet.Result
	// status is the status of the target's answer if that was not a success.
	status int
	// refused is set if the target stated that it has not run the item.
	refused bool
	// givenUp is set if the item has ended since its retention is over.
	givenUp bool
	// otherTarget is set if the answer came from another target than the one addressed.
	otherTarget bool
	err         error
}

// handleRunEnd records the outcome of a run. If the item has ended, it hands the result
// over to be stored.
func (b *Batcher) handleRunEnd(ctx context.Context, h *heldItem, end runOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cause := context.Cause(ctx)
	if b.held[h.ref] != h {
		return // lost or released meanwhile
	}
	h.progress = end.progress
	h.cancel = nil
	h.yielding = false
	h.waitingSince = time.Now()
	if !errorx.IsOfType(cause, errYield) {
		h.notBefore = time.Now().Add(brokenRunDelay)
	}
	if end.otherTarget {
		b.targetID = ""
	}
	outcome := "broken"
	switch {
	case end.givenUp:
		outcome = "given_up"
	case end.result != nil && end.result.State == fleet.ResultDeadLetter:
		outcome = "dead"
	case end.result != nil:
		outcome = "done"
	case errorx.IsOfType(cause, errYield):
		outcome = "yielded"
	}
	b.metrics.runs.WithLabelValues(outcome).Inc()
	if limit := fleet.ExceededLimit(end.err); limit != "" {
		b.metrics.oversized.WithLabelValues(limit).Inc()
	}
	if outcome != "yielded" || logs.Sampled(h.ref.Item) {
		klog.InfoS("item run ended", "job", h.ref.Job, "item", h.ref.Item, "target", b.targetID, "ran", time.Since(h.startedAt),
			"held", time.Since(h.heldSince), "age", time.Since(h.submitted), "last_event", end.progress.LastEventID, "failures", end.progress.Failures,
			"status", end.status, "outcome", outcome, "error", protocol.CauseOf(end.err), "cause", protocol.CauseOf(cause))
	}
	if end.result != nil {
		if h.eventsAtClaim == 0 {
			b.pace.Observe(h.item.Tokens, end.progress.Events, time.Since(h.heldSince))
		}
		delete(b.held, h.ref)
		b.handOver(h.ref)
		b.enqueueResult(h.ref.Job, *end.result)
		if h.savedEvents > 0 {
			b.deleteSave(h.ref)
		}
		return
	}
	b.noteRefusal(h, end.refused)
}

// removedRouteOutcome returns the outcome of an item whose route the given version of the
// configuration no longer has: a dead letter.
func removedRouteOutcome(h *heldItem, progress worklog.Progress, version int64) runOutcome {
	return runOutcome{
		progress: progress, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultDeadLetter},
		err: fleet.ErrNoRoute.New("route %s, in configuration version %d when the job was accepted, is not in version %d", h.job.Route, h.job.ConfigVersion, version),
	}
}

// workspaceOf returns the workspace that the job's items run for. Whether its keys are still
// in force does not matter: what was accepted is run.
func (b *Batcher) workspaceOf(job *worklog.Accept) *fleet.Workspace {
	if job.Workspace != "" {
		return &fleet.Workspace{Name: job.Workspace}
	}
	if c := b.configs.Current(); c != nil && c.Keyring != nil {
		return fleet.Anonymous
	}
	return nil
}

// runItem sends the item to the target once and reads its events.
func (b *Batcher) runItem(ctx context.Context, h *heldItem, target *fleet.Target, route *fleet.Route, progress worklog.Progress) runOutcome {
	request := &fleet.Request{
		ID: h.item.ID, Method: http.MethodPost, Host: h.job.Job.Host, URI: h.item.Path, Path: h.item.Path, Header: h.item.Header, Body: h.item.Body,
		Workspace: b.workspaceOf(h.job),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(eventTimeout, cancel)
	defer watchdog.Stop()
	answer, err := b.params.Sender.Send(ctx, fleet.Attempt{Request: request, Target: target, LastEventID: progress.LastEventID})
	if errorx.IsOfType(err, fleet.ErrMalformed) {
		return unsendableOutcome(h, progress, err)
	}
	if err != nil {
		return runOutcome{progress: progress, err: err}
	}
	if answer.Verdict != fleet.VerdictAnswer {
		answer.Discard()
		return runOutcome{progress: progress, refused: answer.Verdict == fleet.VerdictNotRun, otherTarget: answer.Verdict == fleet.VerdictWrongTarget, err: fleet.ErrAnswerBroken.New("attempt not answered by the target: verdict %d", answer.Verdict)}
	}
	if answer.Status != http.StatusOK {
		answer.Discard()
		return failureOutcome(h, route, progress, answer.Status)
	}
	defer answer.Close()
	if !answer.Signed {
		return runOutcome{progress: progress, err: fleet.ErrAnswerBroken.New("success without the target's signature")}
	}
	if err := b.checkContentType(h, answer); err != nil {
		return runOutcome{progress: progress, err: err}
	}
	begin := progress
	err = readEvents(answer.Body, eventstream.After(progress.LastEventID), func(e eventstream.Event) error {
		watchdog.Reset(eventTimeout)
		if len(progress.Text)+len(e.Data) > fleet.MaxOutputBytes {
			progress = begin // an output that cannot be stored is not resumed
			return fleet.ErrOversizedOutput.New("output exceeds %d bytes", fleet.MaxOutputBytes)
		}
		progress = progress.WithEvent(e.ID, e.Data)
		b.recordProgress(h, progress)
		return nil
	})
	if errorx.IsOfType(err, fleet.ErrOutOfOrder) && progress.Events == begin.Events {
		progress = worklog.Progress{Failures: progress.Failures} // the target did not go on after it
	}
	if err != nil {
		return runOutcome{progress: progress, err: err}
	}
	return runOutcome{progress: progress, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultCompleted, Text: progress.Text}}
}

// unsendableOutcome returns the outcome of an item that can't be sent as one request: a dead
// letter, or a run from the beginning if that is due to the event ID after which to resume.
func unsendableOutcome(h *heldItem, progress worklog.Progress, err error) runOutcome {
	if progress.LastEventID != "" {
		return runOutcome{progress: worklog.Progress{Failures: progress.Failures}, err: err}
	}
	return runOutcome{progress: progress, err: err, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultDeadLetter}}
}

// checkContentType returns ErrAnswerBroken if an earlier run of the item here has brought
// events in an answer of another content type: this one cannot go on with them.
func (b *Batcher) checkContentType(h *heldItem, answer *fleet.Answer) error {
	contentType := answer.Header.Get("Content-Type")
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.hasContentType && h.progress.Events > 0 && contentType != h.contentType {
		return fleet.ErrAnswerBroken.New("target goes on with a stream of type %q in one of type %q", h.contentType, contentType)
	}
	h.contentType, h.hasContentType = contentType, true
	return nil
}

// recordProgress records the item's progress, so that it is not lost if the item is
// released while it runs.
func (b *Batcher) recordProgress(h *heldItem, p worklog.Progress) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = p
	h.lastEventAt = time.Now()
}

// failureOutcome returns the outcome of a run whose answer was not a success. The item
// ends as a dead letter if the target can never process it, or has failed as often as the
// route has attempts.
func failureOutcome(h *heldItem, route *fleet.Route, progress worklog.Progress, status int) runOutcome {
	dead := status == http.StatusUnprocessableEntity
	if status == http.StatusInternalServerError {
		progress.Failures++
		dead = progress.Failures >= route.MaxAttempts
	}
	end := runOutcome{progress: progress, status: status, err: fleet.ErrAnswerBroken.New("target answered with status %d", status)}
	if dead {
		end.result = &fleet.Result{Item: h.ref.Item, State: fleet.ResultDeadLetter}
	}
	return end
}

// readEvents calls each with every event of the body that has an ID or data and follows the one
// before in the sequence. It returns nil only if the stream ended regularly, and otherwise
// ErrAnswerBroken, of which ErrOutOfOrder is a subtype, or the error of each.
func readEvents(body io.Reader, sequence eventstream.Sequence, each func(eventstream.Event) error) error {
	buffer := make([]byte, readBufferBytes)
	var splitter eventstream.Splitter
	for {
		n, err := body.Read(buffer)
		events, oversized := splitter.Add(buffer[:n])
		if oversized != nil {
			return oversized
		}
		following := sequence.FollowingLen(events)
		for _, e := range eventstream.Parse(events[:following]) {
			if e.Empty() {
				continue
			}
			if failure := each(e); failure != nil {
				return failure
			}
		}
		if following < len(events) {
			return fleet.ErrOutOfOrder.New("an event does not follow the one before")
		}
		if errors.Is(err, io.EOF) {
			if splitter.EndsWithinEvent() {
				return fleet.ErrAnswerBroken.New("stream ended within an event")
			}
			return nil
		}
		if err != nil {
			return fleet.ErrAnswerBroken.Wrap(err, "stream")
		}
	}
}
