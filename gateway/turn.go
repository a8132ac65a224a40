package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/waiting"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/transport/boottime"
)

// mustWait reports whether the request waits for room instead of going to the chosen target.
// What may have run does not wait: it can no longer be refused.
func (o *onlineRequest) mustWait(c balancing.Choice) bool {
	return o.asksForRoom() && c.RoomKnown && c.Room <= 0 && o.mayWait()
}

// asksForRoom reports whether the request waits for room: the room of targets is asked for
// before it is sent, and the configuration has workspaces, whose requests are put in order.
// Without workspaces there is nobody to be put in order.
func (o *onlineRequest) asksForRoom() bool {
	return o.request.Workspace != nil && o.g.params.LoadQuerier != nil && o.route.Kind == fleet.KindStream
}

// mayWait reports whether the request may wait for room: nothing of it may have run, and
// enough of its time is left.
func (o *onlineRequest) mayWait() bool {
	return o.possibleRuns == 0 && !o.answerBegun && time.Now().Before(o.waitUntil())
}

// waitUntil returns when the request goes to a target without room, in whose own queue it
// may still have its turn.
func (o *onlineRequest) waitUntil() time.Time {
	if !o.hasDeadline {
		return o.beginBy()
	}
	return o.begun.Add(time.Duration(waitShare * float64(o.limit)))
}

func (o *onlineRequest) objective() time.Duration {
	if o.route.LatencyObjective > 0 {
		return o.route.LatencyObjective
	}
	return defaultObjective
}

// beginBy returns when the request must begin in order to meet its objective.
func (o *onlineRequest) beginBy() time.Time {
	by := o.begun.Add(time.Duration(beginShare * float64(o.objective())))
	if o.hasDeadline && o.deadline.Before(by) {
		return o.deadline
	}
	return by
}

// waitingRequest describes the request to the waiting room.
func (o *onlineRequest) waitingRequest() waiting.Request {
	r := waiting.Request{
		Rank: fleet.Rank(o.route, o.request.Workspace), Bytes: len(o.request.Body),
		RefuseBy: o.begun.Add(time.Duration(refusalShare * float64(o.objective()))), BeginBy: o.beginBy(), LastChance: o.isRetry,
	}
	if o.request.Workspace != nil {
		r.Class = o.request.Workspace.Name
	}
	if o.hasDeadline {
		r.EndBy = o.deadline
	}
	return r
}

// awaitTurn returns once it is the request's turn to look for room, or once it has waited
// long enough and goes to a target without room. It fails if the request is refused or its
// caller leaves.
func (o *onlineRequest) awaitTurn(ctx context.Context, hasLooked bool) error {
	room := o.g.waitingRoom
	if o.waiter == nil {
		entered, refusal := room.enter(o.service, o.waitingRequest(), hasLooked)
		if refusal != nil {
			return o.refuseWaiting(refusal, 0)
		}
		o.waiter = entered
	} else {
		room.passTurn(o.waiter)
	}
	for {
		if refusal := o.reviewWaiting(); refusal != nil {
			return o.endWait(refusal)
		}
		if room.hasTurn(o.waiter) || !o.mayWait() {
			return nil
		}
		if err := o.awaitSignal(ctx); err != nil {
			room.leave(o.waiter, false)
			return err
		}
	}
}

// awaitSignal returns when the request's waiter is woken, or at the next time at which
// something about it is decided. It fails if the caller leaves or the gateway stops.
func (o *onlineRequest) awaitSignal(ctx context.Context) error {
	timer := time.NewTimer(time.Until(o.nextDecision()))
	defer timer.Stop()
	select {
	case <-o.waiter.wake:
	case <-timer.C:
	case <-ctx.Done():
		return o.giveUp(ctx, endReason(ctx))
	}
	return nil
}

// nextDecision returns the next time at which something about a request that waits is decided.
func (o *onlineRequest) nextDecision() time.Time {
	now := time.Now()
	for _, t := range []time.Time{o.waiter.ticket.RefuseBy, o.waiter.ticket.BeginBy} {
		if now.Before(t) {
			return t
		}
	}
	return o.waitUntil()
}

// reviewWaiting returns a refusal of the request, nil if it may go on.
func (o *onlineRequest) reviewWaiting() *waiting.Refusal {
	room := o.g.waitingRoom
	if waiting.HasOutlived(o.entered, boottime.Now(), o.limit) {
		return room.refusal(o.waiter, waiting.ReasonSuspended)
	}
	if window := o.g.drainWindow.Load(); window != nil && (!o.hasDeadline || o.deadline.After(window.Stop)) {
		return room.refusal(o.waiter, waiting.ReasonDraining)
	}
	return room.review(o.waiter)
}

// endWait removes the request from the waiting room and returns its final error.
func (o *onlineRequest) endWait(refusal *waiting.Refusal) error {
	o.g.waitingRoom.leave(o.waiter, false)
	return o.refuseWaiting(refusal, time.Since(o.waiter.ticket.Since))
}

// refuseWaiting returns the error of a request that is refused, and logs the refusal.
func (o *onlineRequest) refuseWaiting(refusal *waiting.Refusal, waited time.Duration) error {
	o.reason = string(refusal.Reason)
	o.g.waitingRoom.metrics.refused.WithLabelValues(string(refusal.Reason)).Inc()
	after := spread(refusal.Return)
	if logs.Sampled(o.request.ID) {
		klog.InfoS("request refused for want of room", "request", o.request.ID, "route", o.route.Name, "service", o.service,
			"rank", fleet.Rank(o.route, o.request.Workspace), "reason", refusal.Reason, "place", refusal.Place,
			"departure_interval", refusal.Interval, "turn", refusal.Turn, "waited", waited, "retry_after", after)
	}
	return fleet.WithRetryAfter(fleet.ErrRefused.New("no room: %s, place %d, turn in %v", refusal.Reason, refusal.Place, refusal.Turn), after)
}

// spread returns d with a random part added.
func spread(d time.Duration) time.Duration {
	return time.Duration((1 + retrySpread*rand.Float64()) * float64(d))
}

// depart tells the waiting room that the request goes to a target now.
func (o *onlineRequest) depart() {
	room := o.g.waitingRoom
	if o.waiter == nil {
		if len(o.attempts) == 0 {
			room.countDirect(o.service, o.waitingRequest())
		}
		return
	}
	waited := time.Since(o.waiter.ticket.Since)
	room.leave(o.waiter, true)
	if waited >= longWait && logs.Sampled(o.request.ID) {
		klog.InfoS("request waited for room", "request", o.request.ID, "route", o.route.Name, "service", o.service,
			"rank", o.waiter.ticket.Rank, "place", o.waiter.place, "promised", o.waiter.promised, "waited", waited)
	}
	o.waiter = nil
}

// leaveWaitingRoom removes the request from the waiting room if it is still there.
func (o *onlineRequest) leaveWaitingRoom() {
	if o.waiter != nil {
		o.g.waitingRoom.leave(o.waiter, false)
	}
}

// rankLabel returns the metric label of a rank.
func rankLabel(rank int) string {
	if rank > maxRankLabel {
		return strconv.Itoa(maxRankLabel) + "+"
	}
	return strconv.Itoa(max(0, rank))
}
