package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/transport/boottime"
)

const (
	// maxRefusals bounds the number of targets that may refuse one request.
	maxRefusals = 4
	// maxWrongTargets bounds the number of targets of one request at whose address another
	// incarnation answered. Such an answer takes a round trip only, and after a loss of power
	// most registered targets are of that kind.
	maxWrongTargets = 16
	// firstEventShare is the share of a stream's latency objective after which another target
	// gets the stream too, if the first has sent no event. Gateways that send at the same moment
	// fill some targets while others have free slots, and the rest of the objective suffices
	// to begin the stream at one of those.
	firstEventShare = 0.5
	// minFirstEventTimeout is a lower bound of that timeout. defaultFirstEventTimeout is
	// used if the route has no objective.
	minFirstEventTimeout     = 100 * time.Millisecond
	defaultFirstEventTimeout = 1500 * time.Millisecond
	// nextEventTimeout is the time without a further event after which another target gets
	// the rest of a stream too. It is well above the gap between events that counts as
	// on time.
	nextEventTimeout = 1200 * time.Millisecond
	// noTargetRetryAfter is the delay after which a caller should retry if the service
	// has no target: a target that starts registers within about this time.
	noTargetRetryAfter = time.Second
)

// Serve implements fleet.CallerAPI.
func (g *Gateway) Serve(ctx context.Context, route *fleet.Route, r *fleet.Request, sink fleet.Sink) error {
	limit := route.Timeout
	if r.MaxWait > 0 && (limit == 0 || r.MaxWait < limit) {
		limit = r.MaxWait
	}
	leave, err := g.trackRequest(limit)
	if err != nil {
		return err
	}
	defer leave()
	begun := time.Now()
	ctx, ended := g.untilStop(ctx)
	defer ended()
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	entered := boottime.Now()
	rated, err := g.admitRate(ctx, r)
	if err != nil {
		g.metrics.observe(route, err, time.Since(begun))
		return err
	}
	o := &onlineRequest{g: g, route: route, request: r, sink: sink, rateTook: time.Since(begun), begun: begun, entered: entered, limit: limit, deadline: begun.Add(limit), hasDeadline: limit > 0, lastEvent: r.LastEventID, tried: map[string]bool{}}
	err = o.run(ctx)
	rated(err, o.possibleRuns > 0)
	took := time.Since(begun)
	if o.completed {
		g.clearSuspicion(r)
	}
	g.metrics.observe(route, err, took)
	if err != nil || len(o.attempts) > 1 || logs.Sampled(r.ID) {
		o.log(err, took)
	}
	return err
}

// onlineRequest is a caller's request in flight.
type onlineRequest struct {
	g       *Gateway
	route   *fleet.Route
	request *fleet.Request
	sink    fleet.Sink
	// begun is when the request came, and entered when it was found to be within its
	// workspace's rate, by a clock that also counts suspensions. limit is the time that it may
	// take, 0 if there is no bound.
	begun       time.Time
	entered     time.Duration
	limit       time.Duration
	deadline    time.Time
	hasDeadline bool
	// rateTook is how long it took to decide that the request is within its workspace's rate.
	rateTook time.Duration
	// waiter is the request's place in the waiting room, nil if it does not wait. isRetry is
	// set if it is probably not its caller's first attempt.
	waiter  *waiter
	isRetry bool

	// lastEvent is the ID of the last event sent to the caller. attemptLastEvent is the
	// value of lastEvent when the current attempt began.
	lastEvent        string
	attemptLastEvent string
	// suspectedParts are the parts of the prompt that were suspected of crashing targets
	// when the current attempt began.
	suspectedParts []string
	// answerBegun is set once the head of an answer has been sent to the caller.
	answerBegun bool
	// contentType is the content type of the answer that was begun.
	contentType string
	// completed is set once a target has run the request to a successful end.
	completed bool
	// tracked is the current attempt.
	tracked *trackedAttempt
	// successor is the attempt that goes on with the stream in place of the last one, nil if
	// there is none. trials holds the attempts that were made in vain beside the last one.
	successor *successor
	trials    []attemptRecord
	// tried holds the IDs of targets that must not get the request again.
	tried map[string]bool
	// attempts holds the attempts so far. service is the service chosen for the request,
	// version the configuration's version by then, and knownTargets the number of targets
	// of the service at the last choice.
	attempts     []attemptRecord
	service      string
	version      int64
	knownTargets int
	// possibleRuns counts the attempts whose target may have run the request, refusals
	// those whose target refused it without running it.
	possibleRuns int
	refusals     int
	// wrongTargets counts the attempts that another incarnation answered.
	wrongTargets int
	// choice is that of the current attempt, and meter measures the attempt of a stream.
	choice balancing.Choice
	meter  streamMeter
	// reason says why the request was given up. It is empty if it was not.
	reason string
}

// run sends the request to targets, one after the other, until one answers or the
// request is given up.
func (o *onlineRequest) run(ctx context.Context) error {
	o.service = o.route.PickService(rand.Float64())
	o.version = o.g.configVersion()
	o.isRetry = o.g.waitingRoom.isRetry(o.route, o.request)
	defer o.leaveWaitingRoom()
	if o.asksForRoom() && o.g.waitingRoom.isWaitedFor(o.service) {
		if err := o.awaitTurn(ctx, false); err != nil {
			return err
		}
	}
	for {
		if err := o.checkBeforeAttempt(); err != nil {
			return err
		}
		targets := o.g.targets.Current().Services[o.service]
		o.knownTargets = len(targets)
		choice, found := o.chooseTarget(ctx, targets)
		if found && o.mustWait(choice) {
			o.g.table.End(choice.Target)
			if err := o.awaitTurn(ctx, true); err != nil {
				return err
			}
			continue
		}
		if !choice.RoomKnown && o.waiter != nil {
			o.g.waitingRoom.release(o.service)
		}
		if !found && len(targets) == 0 && len(o.attempts) == 0 {
			o.reason = "the service has no target"
			return fleet.WithRetryAfter(fleet.ErrRefused.New("service %s has no target", o.service), noTargetRetryAfter)
		}
		if !found {
			return o.giveUp(ctx, "no target left")
		}
		err := o.makeAttempts(ctx, choice)
		if err == nil || !errorx.IsOfType(err, errRetryElsewhere) {
			return err
		}
		if ctx.Err() != nil || !o.mayRetry() {
			return o.giveUp(ctx, "no attempt left")
		}
	}
}

// checkBeforeAttempt checks before each attempt, also after the request has waited, whether
// the request may still be sent to a target.
func (o *onlineRequest) checkBeforeAttempt() error {
	if err := o.g.checkQuarantine(o.request); err != nil {
		o.reason = "in quarantine"
		return err
	}
	return nil
}

// timeLeft returns how long the request may still take, 0 if there is no bound.
func (o *onlineRequest) timeLeft() time.Duration {
	if !o.hasDeadline {
		return 0
	}
	return time.Until(o.deadline)
}

// mayRetry reports whether the request may be sent to another target.
func (o *onlineRequest) mayRetry() bool {
	if o.refusals >= maxRefusals || o.wrongTargets >= maxWrongTargets {
		return false
	}
	return o.possibleRuns == 0 || o.route.Repeatable() && o.possibleRuns < o.route.MaxAttempts
}

// giveUp records the reason and returns the final error of the request: ErrRefused if no
// target can have run it, ErrTimedOut after its deadline, and ErrOutcomeUnknown otherwise.
func (o *onlineRequest) giveUp(ctx context.Context, why string) error {
	o.reason = why
	switch {
	case o.possibleRuns == 0 && !o.answerBegun:
		return newRefusal("%s after %d attempts", why, len(o.attempts))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fleet.ErrTimedOut.New("%s", why)
	default:
		return fleet.ErrOutcomeUnknown.New("%s", why)
	}
}

// send sends the request to the target and relays the answer to the caller. It returns
// errRetryElsewhere if the request may be sent to another target, or goes on at its successor.
func (o *onlineRequest) send(ctx context.Context, target *fleet.Target) error {
	if err := o.checkAccess(ctx); err != nil {
		return err
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := newHandover(ctx, o, target, cancel)
	o.tracked = o.g.inFlight.add(target, cancel)
	defer o.tracked.remove()
	o.attemptLastEvent = o.lastEvent
	o.suspectedParts = o.g.crashes.suspectedParts(o.request)
	err := o.sendAndRelay(attemptCtx, target, h)
	o.endHandover(h, err)
	return err
}

// sendAndRelay does the part of send that another target may take over.
func (o *onlineRequest) sendAndRelay(ctx context.Context, target *fleet.Target, h *handover) error {
	a := fleet.Attempt{Request: o.request, Target: target, LastEventID: o.lastEvent, TimeLeft: o.timeLeft()}
	answer, err := o.g.params.Sender.Send(ctx, a)
	if errorx.IsOfType(err, fleet.ErrMalformed) {
		return o.rejectUnsendable(ctx, err)
	}
	if err != nil {
		return o.handleNoAnswer(ctx, target, err)
	}
	if answer.Load != nil {
		o.meter.running = answer.Load.Running + answer.Load.Waiting
	}
	o.g.recordHead(target, answer)
	if answer.Verdict == fleet.VerdictNotRun || answer.Verdict == fleet.VerdictWrongTarget {
		return o.handleNotRun(ctx, target, answer)
	}
	defer answer.Close()
	o.possibleRuns++
	if answer.Verdict == fleet.VerdictForeign {
		return errForeignAnswer.New("answer belongs to another request")
	}
	if !answer.Signed {
		return errUnsignedAnswer.New("unsigned answer with status %d", answer.Status)
	}
	if o.route.Kind == fleet.KindStream && answer.Status == http.StatusOK {
		return o.relayStream(ctx, target, answer, answer.Body, h)
	}
	return o.relayBuffered(ctx, target, answer)
}

// recordHead records what the head of an answer tells of its target.
func (g *Gateway) recordHead(target *fleet.Target, answer *fleet.Answer) {
	if answer.Load != nil {
		g.table.RecordLoad(target, *answer.Load)
	}
	if answer.Leaving && (answer.Verdict == fleet.VerdictAnswer || answer.Verdict == fleet.VerdictNotRun) {
		g.targets.MarkLeaving(target)
	}
}

// handleNotRun returns the error of an attempt that the target answered without running the
// request: it refused, or another incarnation runs at its address.
func (o *onlineRequest) handleNotRun(ctx context.Context, target *fleet.Target, answer *fleet.Answer) error {
	answer.Discard()
	if answer.Verdict == fleet.VerdictWrongTarget {
		o.wrongTargets++
		o.g.targets.RemoveIncarnation(target)
		o.g.askBeside(ctx, target)
		return errOtherIncarnation.New("another incarnation answered at the target's address")
	}
	o.refusals++
	return errNotRun.New("target refused the request without running it")
}

// rejectUnsendable ends a request that can't be written as one request to a target. That is
// no fault of the target.
func (o *onlineRequest) rejectUnsendable(ctx context.Context, err error) error {
	if o.possibleRuns == 0 && !o.answerBegun {
		o.reason = "not well-formed"
		return err
	}
	return o.giveUp(ctx, "the rest can't be asked for")
}

// endReason returns why the context of a request has ended before its answer.
func endReason(ctx context.Context) string {
	if errorx.IsOfType(context.Cause(ctx), errStopping) {
		return "the gateway stops"
	}
	return "deadline exceeded or caller disconnected"
}

// handleNoAnswer returns the error of an attempt that got no answer. It counts a possible
// run unless the request was not delivered.
func (o *onlineRequest) handleNoAnswer(ctx context.Context, target *fleet.Target, err error) error {
	if ctx.Err() != nil && !isStalled(ctx) && !hasTargetEnded(ctx) {
		if !errorx.IsOfType(err, fleet.ErrNotDelivered) {
			o.possibleRuns++
		}
		return o.giveUp(ctx, endReason(ctx))
	}
	o.reportFailure(ctx, target)
	if !errorx.IsOfType(err, fleet.ErrNotDelivered) {
		o.possibleRuns++
		o.recordBreak(ctx, target)
	}
	return errNoAnswer.Wrap(err, "no answer")
}
