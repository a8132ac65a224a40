package sidecar

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/timeline"
)

// generateOrStop runs a model call and passes each token to sink. Where the call
// broke off, the engine is told to stop before the slot can go to other work. A
// stalled engine keeps the slot until it answers a later order to stop.
func (r *runner) generateOrStop(ctx context.Context, a *protocol.AttemptRequest, by time.Time, sink func(string) error) error {
	err := r.engine.Generate(ctx, backend.Generation{ID: a.Attempt, Body: a.Call.Body, Resume: a.Resume, SendBefore: by}, sink)
	if err == nil || didNotRun(err) {
		return err
	}
	if backend.IsStall(err) || !r.stopAttempt(ctx, a.Attempt) {
		r.markLost(a.Attempt)
	}
	if cause := context.Cause(ctx); errorx.IsOfType(cause, errPreempted) || errorx.IsOfType(cause, protocol.ErrMoved) || errorx.IsOfType(cause, protocol.ErrCancelled) {
		return cause
	}
	return err
}

func didNotRun(err error) bool {
	return errorx.IsOfType(err, protocol.ErrNotSent) || errorx.IsOfType(err, protocol.ErrBadRequest) || errorx.IsOfType(err, protocol.ErrBusy)
}

// stopTimeout bounds the wait for an engine to confirm that an attempt has
// stopped. After it the slot counts as lost.
const stopTimeout = time.Second

// stopAttempt tells the engine to stop the attempt and reports whether it has: it
// may not notice that the stream closed. An engine that refuses connections has
// ended, and its attempts with it.
func (r *runner) stopAttempt(ctx context.Context, attempt string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	err := r.engine.Cancel(ctx, attempt)
	return err == nil || backend.IsConnectionRefused(err)
}

// markLost marks the attempt's slot as lost.
func (r *runner) markLost(attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	r.lost[attempt] = true
	r.slotEvent(timeline.SlotLost, attempt)
	r.applyEffects(r.slots.MarkLost(attempt))
}

// reclaimLostSlots asks the engine again to stop the attempts that hold lost slots.
func (r *runner) reclaimLostSlots(ctx context.Context) {
	r.mu.Lock()
	lost := slices.Collect(maps.Keys(r.lost))
	r.mu.Unlock()
	for _, attempt := range lost {
		if !r.stopAttempt(ctx, attempt) {
			continue
		}
		r.mu.Lock()
		delete(r.lost, attempt)
		r.freeSlot(attempt)
		r.mu.Unlock()
	}
}
