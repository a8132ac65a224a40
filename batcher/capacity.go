package batcher

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/capacity"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// minStepEvents is the number of events of an item's run over which the time between two
	// events is measured.
	minStepEvents = 4
	// minLoggedChange is the share of the target's slots by which the learned capacity must
	// have changed to be logged.
	minLoggedChange = 0.25
)

// learnedCapacity is what a batcher has learned of its target's current incarnation.
type learnedCapacity struct {
	learner capacity.Learner
	// target is the ID of the incarnation that the learner has observed.
	target string
	// slots is the target's number of slots, running the number of requests there at the last
	// poll.
	slots, running int
	// need is the strictest need of the routes that stream from the target's service by
	// config.
	need   capacity.Need
	config *fleet.Configuration
	// logged is the last capacity that was logged, 0 if none was.
	logged int
}

// RecordOutcome records what a stream of a gateway met at the target.
func (b *Batcher) RecordOutcome(o fleet.PeerOutcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := &b.learned
	if o.Target != l.target || o.Target != b.targetID {
		return // of another incarnation
	}
	running := o.Running
	if running == 0 {
		running = l.running
	}
	l.learner.Observe(capacity.Observation{
		At: time.Now(), Running: running, FirstEvent: o.FirstEvent(), Step: o.Step(), Ended: o.Ended, Failed: o.Failed,
	}, l.slots)
}

// learnCapacity observes the items that run at the target, and logs a change of the learned
// capacity. It begins anew if the target was started again. mu must be held.
func (b *Batcher) learnCapacity(now time.Time, slots, running int) {
	l := &b.learned
	if l.target != b.targetID {
		*l = learnedCapacity{target: b.targetID}
	}
	l.slots, l.running = slots, running
	if config := b.configs.Current(); config != l.config {
		l.config, l.need = config, needOf(config, b.targetService())
	}
	for _, h := range b.runningItems() {
		if step := h.measureStep(); step > 0 {
			l.learner.Observe(capacity.Observation{At: now, Running: running, Step: step}, slots)
		}
	}
	b.logCapacity(now)
}

// measureStep returns the mean time between two events since the last measurement, 0 if
// there were too few.
func (h *heldItem) measureStep() time.Duration {
	if h.measuredRun != h.startedAt {
		if h.progress.Events > h.eventsAtStart { // the time to the first event is no step
			h.measuredRun, h.measuredAt, h.measuredEvents = h.startedAt, h.lastEventAt, h.progress.Events
		}
		return 0
	}
	events := h.progress.Events - h.measuredEvents
	if events < minStepEvents {
		return 0
	}
	step := h.lastEventAt.Sub(h.measuredAt) / time.Duration(events)
	h.measuredAt, h.measuredEvents = h.lastEventAt, h.progress.Events
	return step
}

// needOf returns the strictest need of the routes that stream from the service.
func needOf(config *fleet.Configuration, service string) capacity.Need {
	var need capacity.Need
	config.Routes(func(route *fleet.Route) {
		if route.Kind == fleet.KindStream && route.Serves(service) {
			need = need.And(capacity.Need{FirstEvent: route.LatencyObjective, EventGap: route.MaxEventGap})
		}
	})
	return need
}

// estimateCapacity returns how many requests the target takes well. mu must be held.
func (b *Batcher) estimateCapacity(now time.Time) capacity.Estimate {
	return b.learned.learner.Estimate(now, b.learned.slots, b.learned.need)
}

// addLearned adds what was learned of the target to the answer to a query. mu must be held.
func (b *Batcher) addLearned(now time.Time, load *fleet.PeerLoad) {
	l := &b.learned
	if l.target != b.targetID || l.slots == 0 {
		return
	}
	estimate := b.estimateCapacity(now)
	if estimate.Reason == capacity.ReasonUnknown {
		return
	}
	expected := l.expectOneMore(load)
	load.Capacity = estimate.Requests
	load.FirstEventMicros, load.StepMicros = expected.FirstEvent.Microseconds(), expected.Step.Microseconds()
	load.LearnedMillis = now.Sub(estimate.ObservedAt).Milliseconds()
}

// expectOneMore returns what one more stream would meet. Where items take the last slots, it
// waits until one of them gives its slot back.
func (l *learnedCapacity) expectOneMore(load *fleet.PeerLoad) capacity.Expectation {
	total := load.Online + load.Items + 1
	expected := l.learner.Expect(max(load.Online+1, min(total, l.slots)), l.slots)
	if total > l.slots && expected.FirstEvent > 0 {
		expected.FirstEvent += pollInterval
	}
	return expected
}

// logCapacity logs a change of the learned capacity that is larger than minLoggedChange. mu
// must be held.
func (b *Batcher) logCapacity(now time.Time) {
	l := &b.learned
	estimate := b.estimateCapacity(now)
	change := estimate.Requests - l.logged
	if l.logged != 0 && float64(max(change, -change)) <= minLoggedChange*float64(l.slots) {
		return
	}
	expected := l.learner.Expect(l.running, l.slots)
	klog.InfoS("capacity learned", "target", l.target, "capacity", estimate.Requests, "before", l.logged, "slots", l.slots, "reason", string(estimate.Reason),
		"running", l.running, "first_event", expected.FirstEvent, "step", expected.Step)
	if l.logged != 0 {
		b.metrics.capacityChanges.WithLabelValues(string(estimate.Reason)).Inc()
	}
	l.logged = estimate.Requests
}
