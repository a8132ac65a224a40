package batcher

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
	"github.com/sycamoretally/sycamoretally/coordination/urgency"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// Reasons to break an item's run off.
var (
	// errYield gives the slot to online work; the item goes on here later.
	errYield = protocol.Errors.NewType("yield")
	// errLost means that the item is no longer this batcher's.
	errLost = protocol.Errors.NewType("item_lost")
)

const (
	// brokenPause is the time before an item whose run broke off goes on.
	brokenPause = 100 * time.Millisecond
	// silence bounds the time without an event of a run.
	silence = 5 * time.Second
	// readBytes is the size of a read from the target.
	readBytes = 8 << 10
)

// held is an item that the log says is this batcher's.
type held struct {
	candidate
	ref      worklog.ItemRef
	progress worklog.Progress
	// since is when the item came to be held, with begunAt events by then.
	since   time.Time
	begunAt int
	// savedEvents is how many events the store has, or soon will.
	savedEvents int
	// cancel stops the run, nil while the item does not run; yielding is set once
	// it was told to stop.
	cancel   context.CancelCauseFunc
	yielding bool
	started  time.Time
	// until is when the item may run again.
	until time.Time
}

// stop breaks the run off, if there is one.
func (h *held) stop(cause error) {
	if h.cancel != nil {
		h.cancel(cause)
	}
}

// running returns the items that run and were not told to stop, those started
// last first. The lock is held.
func (b *Batcher) running() []*held {
	var running []*held
	for _, h := range b.held {
		if h.cancel != nil && !h.yielding {
			running = append(running, h)
		}
	}
	slices.SortFunc(running, func(x, y *held) int { return y.started.Compare(x.started) })
	return running
}

// ranked is a held item with its urgency.
type ranked struct {
	*held
	urgency.Item
}

// rank returns the held items, the most urgent first. The lock is held.
func (b *Batcher) rank(now time.Time) []ranked {
	list := make([]ranked, 0, len(b.held))
	for _, h := range b.held {
		list = append(list, ranked{h, b.urgency(now, h.candidate, h.progress.Events)})
	}
	slices.SortFunc(list, func(x, y ranked) int {
		if order := urgency.Compare(x.Item, y.Item); order != 0 {
			return order
		}
		return strings.Compare(x.ref.Item, y.ref.Item)
	})
	return list
}

// candidate is an item that may run next.
type candidate struct {
	job  *worklog.Accept
	item fleet.Item
	// offset is that of the job's accept, submitted when the job was.
	offset    int64
	submitted time.Time
}

func candidateOf(job *worklog.Job, item *worklog.Item) candidate {
	return candidate{job: job.Accept, item: item.Item, offset: job.Offset, submitted: job.AcceptedAt}
}

// urgency returns what the order of an item depends on that has brought so many events.
// The lock is held.
func (b *Batcher) urgency(now time.Time, c candidate, events int) urgency.Item {
	u := urgency.Item{
		Age: now.Sub(c.submitted), Remaining: b.pace.Remaining(c.item.Tokens, events), Started: events > 0, JobOffset: c.offset,
	}
	if route := b.route(c.job); route != nil {
		u.Due = route.ResultsDue
	}
	return u
}

// inTime counts the items that can be done in time.
func inTime(list []ranked) int {
	n := 0
	for _, r := range list {
		if r.CanMeetDeadline() {
			n++
		}
	}
	return n
}

// runFirst makes the most urgent items run, as many as there is room for. An item
// that runs yields to online work, or to one that can be done in time where it
// can't. The lock is held.
func (b *Batcher) runFirst(ctx context.Context, now time.Time, list []ranked, room batchlimit.Limits) {
	var run, wait []ranked
	for _, r := range list {
		switch {
		case r.cancel != nil && !r.yielding:
			run = append(run, r)
		case r.cancel == nil && now.After(r.until):
			wait = append(wait, r)
		}
	}
	replace := min(inTime(wait), len(run)-inTime(run))
	keep := min(len(run), max(0, room.MaxRunning-replace))
	for _, r := range run[keep:] {
		r.yielding = true
		r.stop(errYield.New("other work needs the slot"))
	}
	for _, r := range wait[:min(len(wait), max(0, room.MaxAfterStarts-keep), maxStarts)] {
		b.start(ctx, r.held, now)
	}
}

// releaseLate gives back what waits here and can't be done in time, for batchers
// that have nothing else to run. The lock is held.
func (b *Batcher) releaseLate(list []ranked, room int) {
	for i, r := range list {
		if i < room || r.cancel != nil || r.CanMeetDeadline() {
			continue
		}
		klog.InfoS("item given back", "job", r.ref.Job, "item", r.ref.Item, "reason", "late", "age", r.Age, "due", r.Due, "left", r.Remaining,
			"last_event", r.progress.LastEventID)
		delete(b.held, r.ref)
		b.put(worklog.Entry{Release: &worklog.Release{ItemRef: r.ref, Progress: r.progress}})
	}
}

// start runs the item. The lock is held.
func (b *Batcher) start(ctx context.Context, h *held, now time.Time) {
	ctx, cancel := context.WithCancelCause(ctx)
	h.cancel = cancel
	h.started = now
	target := &fleet.Target{ID: b.target, Address: b.params.Node.TargetAddress}
	route := b.route(h.job)
	progress := h.progress
	b.tomb.Go(func() error {
		defer cancel(nil)
		end := b.run(ctx, h, target, route, progress)
		b.ended(ctx, h, end)
		return nil
	})
}

// outcome is how a run ended.
type outcome struct {
	progress worklog.Progress
	// result is set where the item has ended.
	result *fleet.Result
	// status is the target's where that was no success.
	status int
	// moved is set where another target answered than was meant.
	moved bool
	err   error
}

// ended notes how a run ended.
func (b *Batcher) ended(ctx context.Context, h *held, end outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cause := context.Cause(ctx)
	if b.held[h.ref] != h {
		return // lost or released meanwhile
	}
	h.progress = end.progress
	h.cancel = nil
	h.yielding = false
	if !errorx.IsOfType(cause, errYield) {
		h.until = time.Now().Add(brokenPause)
	}
	if end.moved {
		b.target = ""
	}
	outcome := "broken"
	switch {
	case end.result != nil && end.result.State == fleet.ResultDead:
		outcome = "dead"
	case end.result != nil:
		outcome = "done"
	case errorx.IsOfType(cause, errYield):
		outcome = "yielded"
	}
	b.metrics.runs.WithLabelValues(outcome).Inc()
	if outcome != "yielded" || logs.Sampled(h.ref.Item) {
		klog.InfoS("item run ended", "job", h.ref.Job, "item", h.ref.Item, "target", b.target, "ran", time.Since(h.started),
			"held", time.Since(h.since), "age", time.Since(h.submitted), "last_event", end.progress.LastEventID, "failures", end.progress.Failures,
			"status", end.status, "outcome", outcome, "error", protocol.CauseOf(end.err), "cause", protocol.CauseOf(cause))
	}
	if end.result != nil {
		if h.begunAt == 0 {
			b.pace.Observe(h.item.Tokens, end.progress.Events, time.Since(h.since))
		}
		delete(b.held, h.ref)
		b.putResult(h.ref.Job, *end.result)
		if h.savedEvents > 0 {
			b.dropSave(h.ref)
		}
	}
}

// releaseAll gives every item back with what has been done of it. The lock is held.
func (b *Batcher) releaseAll(why string) {
	if len(b.held) == 0 {
		return
	}
	klog.InfoS("items released", "items", len(b.held), "reason", why)
	for ref, h := range b.held {
		klog.InfoS("item given back", "job", ref.Job, "item", ref.Item, "reason", why, "last_event", h.progress.LastEventID)
		h.stop(errLost.New("released"))
		delete(b.held, ref)
		b.put(worklog.Entry{Release: &worklog.Release{ItemRef: ref, Progress: h.progress}})
	}
}

// run sends the item to the target once and reads its events.
func (b *Batcher) run(ctx context.Context, h *held, target *fleet.Target, route *fleet.Route, progress worklog.Progress) outcome {
	if route == nil {
		return outcome{progress: progress, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultDead}}
	}
	request := &fleet.Request{
		ID: h.item.ID, Method: http.MethodPost, Host: h.job.Job.Host, URI: h.item.Path, Path: h.item.Path, Header: h.item.Header, Body: h.item.Body,
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	answer, err := b.params.Sender.Send(ctx, fleet.Attempt{Request: request, Target: target, After: progress.LastEventID})
	if err != nil {
		return outcome{progress: progress, err: err}
	}
	defer answer.Close()
	if answer.Verdict != fleet.VerdictAnswer {
		_, _ = io.Copy(io.Discard, answer.Body)
		return outcome{progress: progress, moved: answer.Verdict == fleet.VerdictOtherTarget, err: fleet.ErrBroken.New("verdict %d", answer.Verdict)}
	}
	if answer.Status != http.StatusOK {
		_, _ = io.Copy(io.Discard, answer.Body)
		return failed(h, route, progress, answer.Status)
	}
	err = readEvents(answer.Body, func(e eventstream.Event) {
		watchdog.Reset(silence)
		progress = progress.WithEvent(e.ID, e.Data)
		b.note(h, progress)
	})
	if err != nil {
		return outcome{progress: progress, err: err}
	}
	return outcome{progress: progress, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultCompleted, Text: progress.Text}}
}

// note keeps the item's progress, for a release while it runs.
func (b *Batcher) note(h *held, p worklog.Progress) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progress = p
}

// failed judges an answer other than a success.
func failed(h *held, route *fleet.Route, progress worklog.Progress, status int) outcome {
	dead := status == http.StatusUnprocessableEntity
	if status == http.StatusInternalServerError {
		progress.Failures++
		dead = progress.Failures >= route.Attempts
	}
	end := outcome{progress: progress, status: status, err: fleet.ErrBroken.New("target answers %d", status)}
	if dead {
		end.result = &fleet.Result{Item: h.ref.Item, State: fleet.ResultDead}
	}
	return end
}

// readEvents passes whole events on. It returns nil only where the stream ended
// by itself.
func readEvents(body io.Reader, each func(eventstream.Event)) error {
	buffer := make([]byte, readBytes)
	var pending []byte
	for {
		n, err := body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		whole := eventstream.Whole(pending)
		for _, e := range eventstream.Parse(pending[:whole]) {
			each(e)
		}
		pending = pending[whole:]
		if errors.Is(err, io.EOF) {
			if len(bytes.TrimSpace(pending)) > 0 {
				return fleet.ErrBroken.New("the stream ends within an event")
			}
			return nil
		}
		if err != nil {
			return fleet.ErrBroken.Wrap(err, "stream")
		}
	}
}
