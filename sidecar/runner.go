package sidecar

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/coordination/slots"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// errPreempted ends batch work that is preempted by online work or by a suspect, or that
// is still running when the drain timeout of the sidecar has passed.
var errPreempted = protocol.Errors.NewType("preempted")

// runner sends all calls to one target. It manages the target's slots and the attempts
// that run or wait.
type runner struct {
	target   settings.Target
	engine   *backend.Engine
	service  *backend.PlainService
	addEvent func(trace, name string, fields ...string)

	mu      sync.Mutex
	slots   *slots.Slots
	stats   *answerStats
	waiting map[string]chan struct{}
	cancels map[string]context.CancelCauseFunc
	// lost holds the attempts with lost slots: the engine has not confirmed that it
	// stopped them.
	lost    map[string]bool
	leaving bool
	drained bool
	// listedLeaving reports whether the instance list shows this instance as leaving.
	listedLeaving func() bool
	// loading is true while the target is out of service to load a model.
	loading bool
	healthy bool
	bootID  string
	seq     uint64
	// classes and permits hold the classes and permits of the attempts that run or wait.
	classes map[string]protocol.Class
	permits map[string]*permit
	// completed holds attempts that completed and whose permits were released without
	// telling the entries.
	completed     *quarantine.RecentSet
	gate          *admissionGate
	crashDetector *crashDetector
	// slotFreed tells the puller that a slot may have become free.
	slotFreed chan struct{}
}

func newRunner(t settings.Target, p settings.Policy, addEvent func(trace, name string, fields ...string)) *runner {
	return &runner{
		target:   t,
		engine:   backend.NewEngine(t.URL, time.Duration(t.StallTimeout)),
		service:  backend.NewPlainService(t.URL),
		addEvent: addEvent,
		slots: slots.New(slots.Params{
			Slots: t.Slots, Reserve: t.Reserve, Queue: t.Queue, NoPreemption: p.NoPreemption,
			LongSlots: max(1, t.Slots/2),
		}),
		stats:         newAnswerStats(t, p),
		waiting:       map[string]chan struct{}{},
		cancels:       map[string]context.CancelCauseFunc{},
		lost:          map[string]bool{},
		listedLeaving: func() bool { return false },
		healthy:       true,
		bootID:        protocol.NewID(),
		classes:       map[string]protocol.Class{},
		permits:       map[string]*permit{},

		completed: quarantine.NewRecentSet(maxCompletedAttempts),
		gate:      newAdmissionGate(),
		slotFreed: make(chan struct{}, 1),
	}
}

// admit waits for a slot. The returned context ends when the work must stop, and the
// returned function releases the slot. If it fails with ErrLeaving, ErrBusy or
// ErrCancelled, nothing was sent to the target. It fails with ErrOutcomeUnknown if the
// attempt has a slot or waits for one already.
func (r *runner) admit(ctx context.Context, a *protocol.AttemptRequest) (context.Context, func(), error) {
	ctx, cancel := context.WithCancelCause(ctx)
	granted, err := r.requestSlot(a, cancel)
	if err != nil {
		cancel(nil)
		return nil, nil, err
	}
	release := func() {
		cancel(nil)
		r.releaseSlot(a.Attempt)
	}
	select {
	case <-granted:
		if ctx.Err() == nil {
			return ctx, release, nil
		}
	case <-ctx.Done():
	}
	release()
	cause := context.Cause(ctx)
	if errorx.IsOfType(cause, protocol.ErrLeaving) || errorx.IsOfType(cause, protocol.ErrCancelled) {
		return nil, nil, cause
	}
	return nil, nil, protocol.ErrBusy.New("target %s: no slot became free in time", r.target.Name)
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// requestSlot grants a slot or queues the attempt. The returned channel is closed once
// the slot is granted.
func (r *runner) requestSlot(a *protocol.AttemptRequest, cancel context.CancelCauseFunc) (<-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRefusing() {
		return nil, protocol.ErrLeaving.New("target %s takes no new work", r.target.Name)
	}
	if r.slots.Has(a.Attempt) {
		return nil, protocol.ErrOutcomeUnknown.New("attempt %s is already running or queued", a.Attempt)
	}
	decision, effects := r.decideSlot(a)
	if decision == slots.Refuse {
		return nil, protocol.ErrBusy.New("target %s has no free slot", r.target.Name)
	}
	r.seq++
	r.cancels[a.Attempt] = cancel
	r.classes[a.Attempt] = a.Class
	granted := closedChannel
	if decision == slots.Wait {
		granted = make(chan struct{})
		r.waiting[a.Attempt] = granted
		r.slotEvent(timeline.SlotWaiting, a.Attempt)
	} else {
		r.slotEvent(timeline.SlotGranted, a.Attempt, "class", string(a.Class))
		if a.Class == protocol.ClassOnline {
			r.stats.recordSlotGrant(a.Attempt, time.Now())
		}
	}
	r.applyEffects(effects)
	return granted, nil
}

// slotEvent records a change of a slot as a time line event. mu must be held, so that the
// events of one target are in the order of the changes.
func (r *runner) slotEvent(name, attempt string, fields ...string) {
	r.addEvent("", name, append([]string{"attempt", attempt, "target", r.target.Name}, fields...)...)
}

func (r *runner) decideSlot(a *protocol.AttemptRequest) (slots.Decision, slots.Effects) {
	if a.Class == protocol.ClassBatch {
		return r.slots.ArriveBatch(a.Attempt), slots.Effects{}
	}
	long := r.stats.isLong(a)
	if a.NoWait && r.slots.WouldWait(long) {
		return slots.Refuse, slots.Effects{}
	}
	if long {
		return r.slots.ArriveLong(a.Attempt)
	}
	return r.slots.ArriveOnline(a.Attempt)
}

// releaseSlot releases the slot of an attempt. If the engine still runs the attempt, the
// slot stays lost until the engine confirms that it has stopped.
func (r *runner) releaseSlot(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, attempt)
	delete(r.classes, attempt)
	delete(r.waiting, attempt)
	if !r.lost[attempt] {
		r.freeSlot(attempt)
	}
}

// freeSlot frees a slot and grants it to the next attempt. mu must be held.
func (r *runner) freeSlot(attempt string) {
	r.seq++
	r.refuseWaiting() // before the slot can be granted to a waiting attempt
	r.slotEvent(timeline.SlotFreed, attempt)
	r.slots.SetQueueLimit(r.stats.recordSlotRelease(attempt, time.Now()))
	r.applyEffects(r.slots.Release(attempt))
	signal(r.slotFreed)
}

// signal puts a token into ch, unless ch is full.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// applyEffects starts, preempts and moves the attempts that the slots decided on. mu must
// be held.
func (r *runner) applyEffects(e slots.Effects) {
	for _, id := range e.Start {
		r.slotEvent(timeline.SlotGranted, id, "class", string(protocol.ClassOnline))
		r.stats.recordSlotGrant(id, time.Now())
		close(r.waiting[id])
		delete(r.waiting, id)
	}
	for _, id := range e.Preempt {
		r.slotEvent(timeline.BatchPreempted, id)
		r.cancels[id](errPreempted.New("online work needs the slot"))
	}
	for _, id := range e.Move {
		r.slotEvent(timeline.LongMoved, id)
		r.cancels[id](protocol.ErrMoved.New("shorter work needs the slot"))
	}
}

// cancel stops an attempt if it runs or waits on the target.
func (r *runner) cancel(attempt string, cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if cancel := r.cancels[attempt]; cancel != nil {
		cancel(cause)
	}
}

// cancelAll stops every attempt.
func (r *runner) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, cancel := range r.cancels {
		cancel(cause)
	}
}

// isRefusing reports whether the target takes no new work. mu must be held.
func (r *runner) isRefusing() bool { return r.leaving || r.drained || r.loading || r.listedLeaving() }

// checkAccepting fails with ErrLeaving if the target takes no new work, which may have
// changed since the attempt was admitted.
func (r *runner) checkAccepting() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRefusing() {
		return protocol.ErrLeaving.New("target %s takes no new work", r.target.Name)
	}
	return nil
}

func (r *runner) setLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
	r.seq++
	r.refuseWaiting()
}

func (r *runner) setDrained(drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.drained != drained {
		r.drained = drained
		r.seq++
		r.refuseWaiting()
	}
}

// refuseWaiting refuses the attempts that wait for a slot if the target takes no new
// work. They have not run, and their entries send them to other targets. mu must be held.
func (r *runner) refuseWaiting() {
	if !r.isRefusing() {
		return
	}
	for attempt := range r.waiting {
		r.cancels[attempt](protocol.ErrLeaving.New("target %s takes no new work", r.target.Name))
	}
}

// spareSlots returns the number of slots that batch work may use.
func (r *runner) spareSlots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRefusing() || !r.healthy {
		return 0
	}
	return r.slots.Spare()
}

// has reports whether the attempt runs or waits on the target.
func (r *runner) has(attempt string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cancels[attempt] != nil
}

// isBatchIdle reports whether the target runs no batch item.
func (r *runner) isBatchIdle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, batch, _ := r.slots.Counts()
	return batch == 0
}

func (r *runner) report() protocol.TargetReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	online, batch, waiting := r.slots.Counts()
	return protocol.TargetReport{
		Target:  r.target.Name,
		Labels:  r.target.Labels,
		Slots:   r.target.Slots,
		Online:  online,
		Batch:   batch,
		Queued:  waiting,
		Lost:    r.slots.Lost(),
		Leaving: r.isRefusing(),
		Healthy: r.healthy,
		Boot:    r.bootID,
		Seq:     r.seq,
	}
}

// healthInterval is the time between two checks of a target.
const healthInterval = 500 * time.Millisecond

// watch checks the instance list, the target's health and its lost slots until ctx ends.
func (r *runner) watch(ctx context.Context) error {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		r.checkListedLeaving()
		r.setHealthy(r.probe(ctx) == nil)
		r.reclaimLostSlots(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *runner) setHealthy(healthy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.healthy == healthy {
		return
	}
	r.healthy = healthy
	r.seq++
	r.addEvent("", "target health", "target", r.target.Name, "healthy", strconv.FormatBool(healthy))
}

// checkListedLeaving refuses waiting attempts once the instance list shows this instance
// as leaving.
func (r *runner) checkListedLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuseWaiting()
}
