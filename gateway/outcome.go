package gateway

import (
	"bytes"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// newsFactor is the ratio of what a stream met to what was expected from which on the
// batcher is told at once.
const newsFactor = 1.5

// streamMeter measures one attempt of a stream.
type streamMeter struct {
	begun, first, last time.Time
	events             int
	// running is the number of requests at the target when it began to answer, 0 if it did
	// not tell.
	running int
	// firstReported is set once the time to the first event was told.
	firstReported bool
	// stalled is set if the stream left the target because it got no event in time.
	stalled bool
}

// eventReceived counts complete events that arrived at the time now. It reports whether they
// are the first ones.
func (m *streamMeter) eventReceived(now time.Time, events []byte) (first bool) {
	first = m.events == 0
	if first {
		m.first = now
	}
	m.last = now
	m.events += max(1, bytes.Count(events, []byte("\n\n")))
	return first
}

// firstOutcome returns how long the stream waited for its first event.
func (m *streamMeter) firstOutcome(target string) fleet.PeerOutcome {
	return fleet.PeerOutcome{Target: target, Running: m.running, FirstEventMicros: m.first.Sub(m.begun).Microseconds()}
}

// step returns the mean time between two events, 0 if there were fewer.
func (m *streamMeter) step() time.Duration {
	if m.events < 2 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.events-1)
}

// reportFirstEvent tells the batcher beside the target at the first event how long that took,
// if it differs much from what the batcher expects: a target that has become slow must not
// get more streams until this one ends.
func (o *onlineRequest) reportFirstEvent(choice balancing.Choice) {
	outcome := o.meter.firstOutcome(choice.Target.ID)
	if choice.ProbeAnswers == 0 || !isNews(outcome.FirstEvent(), choice.ExpectedFirstEvent) {
		return
	}
	o.meter.firstReported = true
	o.g.params.LoadQuerier.ReportOutcome(o.g.batcherAddress(choice.Target), outcome, true)
}

// reportOutcome tells the batcher beside the target what an attempt of a stream met there and
// how it ended: at once if the target failed or stalled, or the time differs much from what the
// batcher expects.
func (o *onlineRequest) reportOutcome(choice balancing.Choice, err error) {
	failed := !o.meter.stalled && isTargetFault(err)
	if choice.ProbeAnswers == 0 || o.meter.events == 0 && !failed && !o.meter.stalled {
		return
	}
	outcome := fleet.PeerOutcome{Target: choice.Target.ID}
	switch {
	case o.meter.events > 0 && !o.meter.firstReported:
		outcome = o.meter.firstOutcome(choice.Target.ID)
	case o.meter.events == 0 && o.meter.stalled: // the first event would have taken longer still
		outcome.FirstEventMicros = time.Since(o.meter.begun).Microseconds()
	}
	outcome.Running, outcome.StepMicros = o.meter.running, o.meter.step().Microseconds()
	outcome.Ended, outcome.Failed = err == nil || failed, failed
	urgent := failed || o.meter.stalled || isNews(outcome.Step(), choice.ExpectedStep)
	o.g.params.LoadQuerier.ReportOutcome(o.g.batcherAddress(choice.Target), outcome, urgent)
}

// isTargetFault reports whether an attempt ended by a fault of its target: it answered
// wrongly, broke off or was not reached.
func isTargetFault(err error) bool {
	for _, fault := range []*errorx.Type{errForeignAnswer, errUnsignedAnswer, errNoAnswer, errTruncatedAnswer, errTargetFailed} {
		if errorx.IsOfType(err, fault) {
			return true
		}
	}
	return false
}

// isNews reports whether what a stream met differs much from what was expected. 0 stands for
// an unknown time.
func isNews(met, expected time.Duration) bool {
	if met == 0 {
		return false
	}
	return float64(met) > newsFactor*float64(expected) || newsFactor*float64(met) < float64(expected)
}
