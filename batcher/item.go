package batcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/coordination/jobroute"
	"github.com/sycamoretally/sycamoretally/coordination/urgency"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// Causes that cancel an item's run.
var (
	// errYield means that the item was preempted. It is resumed here later.
	errYield = protocol.Errors.NewType("yield")
	// errItemLost means that this batcher no longer holds the item.
	errItemLost = protocol.Errors.NewType("item_lost")
)

// heldItem is an item that this batcher holds according to the work log.
type heldItem struct {
	candidate
	ref      worklog.ItemRef
	progress worklog.Progress
	// heldSince is when the item came to be held, and eventsAtClaim is its number of
	// events at that time.
	heldSince     time.Time
	eventsAtClaim int
	// savedEvents is the number of events whose text is stored or handed over to be
	// stored.
	savedEvents int
	// cancel cancels the run. It is nil while the item does not run. yielding is set
	// once the run has been preempted and until it ends.
	cancel    context.CancelCauseFunc
	yielding  bool
	startedAt time.Time
	// eventsAtStart is the number of events when the current run started. measuredRun is the
	// start of the run whose pace is measured, since measuredAt and from measuredEvents on.
	eventsAtStart  int
	measuredRun    time.Time
	measuredAt     time.Time
	measuredEvents int
	// lastEventAt is when the last event arrived.
	lastEventAt time.Time
	// contentType is the content type of the last answer here that was read as a stream, if
	// hasContentType is set.
	contentType    string
	hasContentType bool
	// waitingSince is when the item was claimed or its last run ended.
	waitingSince time.Time
	// refusedSince is when the target refused the item first, if it has refused it ever since.
	refusedSince time.Time
	// notBefore is the earliest time at which the item may run again.
	notBefore time.Time
}

// cancelRun cancels the item's run, if there is one.
func (h *heldItem) cancelRun(cause error) {
	if h.cancel != nil {
		h.cancel(cause)
	}
}

// dropSpoiledProgress drops progress after which no run can go on, which an earlier build may have
// released or saved.
func (h *heldItem) dropSpoiledProgress() {
	if h.progress.CanResume() {
		return
	}
	klog.InfoS("progress dropped", "job", h.ref.Job, "item", h.ref.Item, "events", h.progress.Events, "last_event", h.progress.LastEventID)
	h.progress = worklog.Progress{Failures: h.progress.Failures}
	h.eventsAtClaim, h.savedEvents = 0, 0
}

// runningItems returns the items that run and are not preempted, the last started first.
// mu must be held.
func (b *Batcher) runningItems() []*heldItem {
	var running []*heldItem
	for _, h := range b.held {
		if h.cancel != nil && !h.yielding {
			running = append(running, h)
		}
	}
	slices.SortFunc(running, func(x, y *heldItem) int { return y.startedAt.Compare(x.startedAt) })
	return running
}

// rankedItem is a held item with its urgency.
type rankedItem struct {
	*heldItem
	urgency.Item
}

// rankItems returns the held items, the most urgent first. mu must be held.
func (b *Batcher) rankItems(now time.Time) []rankedItem {
	list := make([]rankedItem, 0, len(b.held))
	for _, h := range b.held {
		list = append(list, rankedItem{h, b.urgencyOf(now, h.candidate, h.progress.Events)})
	}
	slices.SortFunc(list, func(x, y rankedItem) int {
		if order := urgency.Compare(x.Item, y.Item); order != 0 {
			return order
		}
		return strings.Compare(x.ref.Item, y.ref.Item)
	})
	return list
}

// candidate is an item that may be claimed or run, with what its urgency depends on.
type candidate struct {
	job  *worklog.Accept
	item fleet.Item
	// offset is the log offset of the job's accept record. submitted is when the job was
	// submitted.
	offset    int64
	submitted time.Time
	// knownSince is when this process first read of the job.
	knownSince time.Time
}

func candidateOf(job *worklog.Job, item *worklog.Item) candidate {
	return candidate{job: job.Accept, item: item.Item, offset: job.Offset, submitted: job.AcceptedAt, knownSince: job.KnownSince}
}

// urgencyOf returns the urgency of an item that has produced the given number of events.
// mu must be held.
func (b *Batcher) urgencyOf(now time.Time, c candidate, events int) urgency.Item {
	u := urgency.Item{
		Age: now.Sub(c.submitted), Remaining: b.pace.Remaining(c.item.Tokens, events), Started: events > 0, JobOffset: c.offset,
	}
	if route, standing := jobroute.Find(b.configs.Current(), c.job); standing == jobroute.InForce {
		u.Due = route.ResultDeadline
	}
	return u
}

// countInTime returns the number of items that can be done in time.
func countInTime(list []rankedItem) int {
	n := 0
	for _, r := range list {
		if r.CanMeetDeadline() {
			n++
		}
	}
	return n
}

// runMostUrgent runs the most urgent items, as many as there is room for. A running item
// is preempted by online requests, and, if it cannot be done in time, by an item that
// can. mu must be held.
func (b *Batcher) runMostUrgent(ctx context.Context, now time.Time, list []rankedItem, room batchlimit.Limits) {
	var running, waiting []rankedItem
	for _, r := range list {
		switch {
		case r.cancel != nil && !r.yielding:
			running = append(running, r)
		case r.cancel == nil && now.After(r.notBefore):
			waiting = append(waiting, r)
		}
	}
	replace := min(countInTime(waiting), len(running)-countInTime(running))
	keep := min(len(running), max(0, room.MaxRunning-replace))
	for _, r := range running[keep:] {
		r.yielding = true
		r.cancelRun(errYield.New("slot needed by online requests or a more urgent item"))
	}
	for _, r := range waiting[:min(len(waiting), max(0, room.MaxAfterStarts-keep), maxStartsPerPoll)] {
		b.startRun(ctx, r.heldItem, now)
	}
}

// releaseLate releases waiting items that cannot be done in time and for which there is no
// room, for batchers that have nothing else to run. mu must be held.
func (b *Batcher) releaseLate(list []rankedItem, room int) {
	for i, r := range list {
		if i < room || r.cancel != nil || r.CanMeetDeadline() {
			continue
		}
		b.release(r.heldItem, "late", "age", r.Age, "due", r.Due, "left", r.Remaining)
	}
}

// maxSlotWait is how long an item with a due time waits for a slot here before others may
// have it: online requests rise in steps of a second or two, and not at all targets alike.
const maxSlotWait = time.Second

// releaseWaiting releases items with a due time that have waited for a slot for maxSlotWait
// and for which there still is none, if others seem to have spare slots. In the work log they
// go to the next batcher with one. Where all are full an item is done soonest by the batcher
// that holds it. mu must be held.
func (b *Batcher) releaseWaiting(now time.Time, list []rankedItem, room int) {
	var waiting []rankedItem
	for i, r := range list {
		if i >= room && r.cancel == nil && r.Due != 0 && b.held[r.ref] == r.heldItem && now.Sub(r.waitingSince) >= maxSlotWait {
			waiting = append(waiting, r)
		}
	}
	if len(waiting) == 0 || claims.HasBacklog(now, b.fold, b.servesJob) {
		return
	}
	for _, r := range waiting {
		b.release(r.heldItem, "no slot", "age", r.Age, "due", r.Due, "left", r.Remaining)
	}
}

// releaseMoved releases waiting items whose route now goes to other services. A run that is
// under way may go on. mu must be held.
func (b *Batcher) releaseMoved() {
	for _, h := range b.held {
		if h.cancel != nil {
			continue
		}
		route, standing := jobroute.Find(b.configs.Current(), h.job)
		if standing == jobroute.InForce && !route.Serves(b.targetService()) && !b.isAbandoned(h.candidate, route) {
			b.release(h, "its route goes to other services", "route", route.Name)
		}
	}
}

// release gives the item back with its progress, for another batcher, and logs why. mu must
// be held.
func (b *Batcher) release(h *heldItem, why string, details ...any) {
	klog.InfoS("item given back", append([]any{"job", h.ref.Job, "item", h.ref.Item, "reason", why, "last_event", h.progress.LastEventID}, details...)...)
	delete(b.held, h.ref)
	b.handOver(h.ref)
	b.enqueue(worklog.Entry{Release: &worklog.Release{ItemRef: h.ref, Progress: h.progress}})
}

// releaseAll releases every item with its progress. mu must be held.
func (b *Batcher) releaseAll(why string) {
	if len(b.held) == 0 {
		return
	}
	klog.InfoS("items released", "items", len(b.held), "reason", why)
	for _, h := range b.held {
		h.cancelRun(errItemLost.New("released"))
		b.release(h, why)
	}
}
