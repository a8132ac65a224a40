package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// errRetryElsewhere is the error of an attempt whose request may be sent to another
// target. Its subtypes give the reason, for the log.
var (
	errRetryElsewhere   = protocol.Errors.NewType("elsewhere")
	errNotRun           = errRetryElsewhere.NewSubtype("target_full")
	errOtherIncarnation = errRetryElsewhere.NewSubtype("another_lifetime")
	errForeignAnswer    = errRetryElsewhere.NewSubtype("foreign_answer")
	errUnsignedAnswer   = errRetryElsewhere.NewSubtype("unsigned_answer")
	errNoAnswer         = errRetryElsewhere.NewSubtype("no_answer")
	errTruncatedAnswer  = errRetryElsewhere.NewSubtype("answer_cut")
	errTargetFailed     = errRetryElsewhere.NewSubtype("target_fails")
	errOvertaken        = errRetryElsewhere.NewSubtype("overtaken")
)

// attemptRecord holds an attempt, the state on which the choice of its target was based,
// and its outcome.
type attemptRecord struct {
	choice     balancing.Choice
	targetsAge time.Duration
	after      string
	timeLeft   time.Duration
	took       time.Duration
	err        error
}

// log logs the attempt: why its target was chosen, and how it ended.
func (a *attemptRecord) log(request string, number int) {
	c := a.choice
	klog.InfoS("attempt", "request", request, "number", number, "target", c.Target.ID,
		"in_flight", c.InFlight, "others", c.ReportedOthers, "report_age", c.ReportAge,
		"answers", c.ProbeAnswers, "online", c.ProbedOnline, "capacity", c.Capacity, "expected_first", c.ExpectedFirstEvent, "expected_step", c.ExpectedStep, "suspect", c.Ejected, "targets_age", a.targetsAge,
		"after_event", a.after, "time_left", a.timeLeft, "took", a.took,
		"outcome", outcomeOf(a.err), "error", protocol.CauseOf(a.err))
}

// makeAttempts makes an attempt, and those that go on in its place.
func (o *onlineRequest) makeAttempts(ctx context.Context, choice balancing.Choice) error {
	o.depart()
	err := o.makeAttempt(choice, time.Now(), func() error { return o.send(ctx, choice.Target) })
	for o.successor != nil {
		next := o.successor
		err = o.makeAttempt(next.choice, next.begun, func() error { return o.goOn(ctx, next) })
	}
	return err
}

// makeAttempt makes one attempt, which began at the time begun, and records it in attempts.
func (o *onlineRequest) makeAttempt(choice balancing.Choice, begun time.Time, attempt func() error) error {
	o.g.metrics.observeChoice(choice)
	record := attemptRecord{choice: choice, after: o.lastEvent, timeLeft: o.timeLeft()}
	record.targetsAge, _ = o.g.targetTail.Age()
	o.meter, o.choice = streamMeter{begun: begun}, choice
	record.err = attempt()
	o.tried[choice.Target.ID] = true
	o.g.table.End(choice.Target)
	o.reportOutcome(choice, record.err)
	o.g.waitingRoom.slotMayBeFree(o.service)
	record.took = time.Since(begun)
	o.attempts = append(append(o.attempts, record), o.trials...)
	o.trials = nil
	o.g.metrics.countAttempt(record.err)
	return record.err
}

// countAttempt counts an attempt that ended with err.
func (m *metrics) countAttempt(err error) {
	m.attempts.WithLabelValues(outcomeOf(err)).Inc()
	if limit := fleet.ExceededLimit(err); limit != "" {
		m.oversized.WithLabelValues(limit).Inc()
	}
}

// log logs each attempt and the outcome of the request.
func (o *onlineRequest) log(err error, took time.Duration) {
	for i, a := range o.attempts {
		a.log(o.request.ID, i+1)
	}
	klog.InfoS("request ended", "request", o.request.ID, "route", o.route.Name, "kind", kindNames[o.route.Kind], "service", o.service,
		"version", o.version, "targets", o.knownTargets, "attempts", len(o.attempts), "runs", o.possibleRuns, "answer_begun", o.answerBegun, "last_event", o.lastEvent,
		"rate_took", o.rateTook, "took", took, "outcome", outcomeOf(err), "reason", o.reason, "error", protocol.CauseOf(err))
}
