package batcher

import (
	"context"
	"maps"
	"time"

	"github.com/sycamoretally/sycamoretally/coordination/expiry"
	"github.com/sycamoretally/sycamoretally/coordination/jobroute"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// maxRefusedTime is how long the target may refuse an item before others may have it: it may
	// be too large for this target and not for another one.
	maxRefusedTime = 3 * time.Second
	// refusalPause is how long this batcher then leaves the item to others.
	refusalPause = 5 * time.Second
)

// errExpired means that an item was given up since its retention is over.
var errExpired = fleet.ErrAnswerBroken.NewSubtype("retention_over")

// giveUpExpired ends the item as a dead letter if its retention is over and the run has brought
// nothing, though it was not cancelled here. One that brought something goes on.
func (b *Batcher) giveUpExpired(ctx context.Context, h *heldItem, route *fleet.Route, end *runOutcome) {
	if end.result != nil || context.Cause(ctx) != nil || end.otherTarget {
		return
	}
	if end.progress.Events > h.eventsAtStart || !expiry.IsExpired(time.Now(), h.knownSince, route, h.job) {
		return
	}
	end.givenUp = true
	end.result = &fleet.Result{Item: h.ref.Item, State: fleet.ResultDeadLetter}
}

// unservedOutcome returns the outcome of an item whose route does not go to the target's service. It
// is not sent, and is given up if it is abandoned.
func (b *Batcher) unservedOutcome(h *heldItem, progress worklog.Progress, route *fleet.Route) runOutcome {
	if !b.isAbandoned(h.candidate, route) {
		return runOutcome{progress: progress, err: fleet.ErrNotDelivered.New("route %s goes to other services", route.Name)}
	}
	return runOutcome{
		progress: progress, givenUp: true, result: &fleet.Result{Item: h.ref.Item, State: fleet.ResultDeadLetter},
		err: errExpired.New("no batcher of its service has run the item in %v", expiry.Retention(route, h.job)),
	}
}

// isAbandoned reports whether this batcher is to give the item up although its target belongs to
// another service.
func (b *Batcher) isAbandoned(c candidate, route *fleet.Route) bool {
	return expiry.IsAbandoned(time.Now(), c.knownSince, route, c.job)
}

// mayClaim reports whether this batcher may claim items of the job: to run them, or to give them
// up.
func (b *Batcher) mayClaim(job *worklog.Job) bool {
	if b.servesJob(job) {
		return true
	}
	route, standing := jobroute.Find(b.configs.Current(), job.Accept)
	return standing == jobroute.InForce && expiry.IsAbandoned(time.Now(), job.KnownSince, route, job.Accept)
}

// noteRefusal notes whether the target has refused the item, and gives it back once that has gone
// on for maxRefusedTime. mu must be held.
func (b *Batcher) noteRefusal(h *heldItem, refused bool) {
	now := time.Now()
	switch {
	case !refused:
		h.refusedSince = time.Time{}
	case h.refusedSince.IsZero():
		h.refusedSince = now
	case now.Sub(h.refusedSince) >= maxRefusedTime:
		maps.DeleteFunc(b.refused, func(_ worklog.ItemRef, at time.Time) bool { return now.Sub(at) >= refusalPause })
		b.refused[h.ref] = now
		b.release(h, "refused by the target", "refused_for", now.Sub(h.refusedSince))
	}
}

// isLeftToOthers reports whether this batcher leaves the item to others, since its target has
// refused it. An item whose retention is over is left to nobody. mu must be held.
func (b *Batcher) isLeftToOthers(now time.Time, job *worklog.Job, item *worklog.Item) bool {
	at, found := b.refused[item.Ref]
	if !found || now.Sub(at) >= refusalPause {
		return false
	}
	return !b.isExpired(now, job)
}

// isExpired reports whether the retention of the job's items is over.
func (b *Batcher) isExpired(now time.Time, job *worklog.Job) bool {
	route, _ := jobroute.Find(b.configs.Current(), job.Accept)
	return expiry.IsExpired(now, job.KnownSince, route, job.Accept)
}
