package gateway

import (
	"bytes"
	"time"

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

// reportOutcome tells the batcher beside the target what an attempt of a stream met there,
// at once if that differs much from what the batcher expects.
func (o *onlineRequest) reportOutcome(choice balancing.Choice) {
	if choice.ProbeAnswers == 0 || o.meter.events == 0 {
		return
	}
	outcome := o.meter.firstOutcome(choice.Target.ID)
	if o.meter.firstReported {
		outcome.FirstEventMicros = 0
	}
	outcome.StepMicros = o.meter.step().Microseconds()
	o.g.params.LoadQuerier.ReportOutcome(o.g.batcherAddress(choice.Target), outcome, isNews(outcome.Step(), choice.ExpectedStep))
}

// isNews reports whether what a stream met differs much from what was expected. 0 stands for
// an unknown time.
func isNews(met, expected time.Duration) bool {
	if met == 0 {
		return false
	}
	return float64(met) > newsFactor*float64(expected) || newsFactor*float64(met) < float64(expected)
}
