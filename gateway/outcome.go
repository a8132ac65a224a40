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
}

// eventReceived counts complete events that arrived at the time now.
func (m *streamMeter) eventReceived(now time.Time, events []byte) {
	if m.events == 0 {
		m.first = now
	}
	m.last = now
	m.events += max(1, bytes.Count(events, []byte("\n\n")))
}

// outcome returns what the stream met at the target.
func (m *streamMeter) outcome(target string) fleet.PeerOutcome {
	o := fleet.PeerOutcome{Target: target, Running: m.running, FirstEventMicros: m.first.Sub(m.begun).Microseconds()}
	if m.events > 1 {
		o.StepMicros = (m.last.Sub(m.first) / time.Duration(m.events-1)).Microseconds()
	}
	return o
}

// reportOutcome tells the batcher beside the target what an attempt of a stream met there.
// What differs much from what the batcher expects is told at once.
func (o *onlineRequest) reportOutcome(choice balancing.Choice) {
	if choice.ProbeAnswers == 0 || o.meter.events == 0 {
		return
	}
	outcome := o.meter.outcome(choice.Target.ID)
	urgent := isNews(outcome.Step(), choice.ExpectedStep) || isNews(outcome.FirstEvent(), choice.ExpectedFirstEvent)
	o.g.params.LoadQuerier.ReportOutcome(o.g.batcherAddress(choice.Target), outcome, urgent)
}

// isNews reports whether what a stream met differs much from what was expected. 0 stands for
// an unknown time.
func isNews(met, expected time.Duration) bool {
	if met == 0 {
		return false
	}
	return float64(met) > newsFactor*float64(expected) || newsFactor*float64(met) < float64(expected)
}
