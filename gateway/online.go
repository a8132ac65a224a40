package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/logs"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/eventstream"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const (
	// maxRefusals bounds the targets that may turn one request away as full.
	maxRefusals = 4
	// maxWholeBytes bounds an answer that is held until it is whole.
	maxWholeBytes = 4 << 20
	// patienceShare is the part of a stream's objective after which it moves on
	// from a target that has not begun it: gateways that send in the same moment
	// fill some targets while others have free slots, and the rest of the
	// objective is time enough there.
	patienceShare = 0.5
	// minPatience bounds that time from below, defaultPatience stands for it where
	// the route has no objective.
	minPatience     = 100 * time.Millisecond
	defaultPatience = 1500 * time.Millisecond
	// eventPatience is how long a stream may be without a next event before it
	// goes on elsewhere, well beyond what counts as on time.
	eventPatience = 1200 * time.Millisecond
	// registerTime is when a caller should come back whose service has no target:
	// a target that starts registers within about this time.
	registerTime = time.Second
	// streamBufferBytes is the size of a read from a target.
	streamBufferBytes = 8 << 10
)

// Serve implements fleet.Callers.
func (g *Gateway) Serve(ctx context.Context, route *fleet.Route, r *fleet.Request, sink fleet.Sink) error {
	leave, err := g.enter()
	if err != nil {
		return err
	}
	defer leave()
	limit := route.Timeout
	if r.Patience > 0 && (limit == 0 || r.Patience < limit) {
		limit = r.Patience
	}
	if err := g.checkQuarantine(r); err != nil {
		g.metrics.observe(route, err, 0)
		return err
	}
	begun := time.Now()
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	o := &online{g: g, route: route, request: r, sink: sink, deadline: begun.Add(limit), bounded: limit > 0, after: r.After, tried: map[string]bool{}}
	err = o.run(ctx)
	took := time.Since(begun)
	if err == nil {
		g.noteRun(r)
	}
	g.metrics.observe(route, err, took)
	if err != nil || len(o.trail) > 1 || logs.Sampled(r.ID) {
		o.log(err, took)
	}
	return err
}

// log tells every decision about the request.
func (o *online) log(err error, took time.Duration) {
	for i, a := range o.trail {
		a.log(o.request.ID, i+1)
	}
	klog.InfoS("request ended", "request", o.request.ID, "route", o.route.Name, "kind", kindNames[o.route.Kind], "service", o.service,
		"version", o.version, "targets", o.known, "attempts", len(o.trail), "runs", o.runs, "answer_begun", o.begun, "last_event", o.after,
		"took", took, "outcome", outcomeOf(err), "reason", o.reason, "error", protocol.CauseOf(err))
}

// attempted is one attempt with what decided for it.
type attempted struct {
	choice     balancing.Choice
	targetsAge time.Duration
	after      string
	timeLeft   time.Duration
	took       time.Duration
	err        error
}

// log tells what the attempt was decided by, and what came of it.
func (a *attempted) log(request string, number int) {
	c := a.choice
	klog.InfoS("attempt", "request", request, "number", number, "target", c.Target.ID,
		"in_flight", c.InFlight, "others", c.ReportedOthers, "report_age", c.ReportAge,
		"answers", c.ProbeAnswers, "online", c.ProbedOnline, "suspect", c.Ejected, "targets_age", a.targetsAge,
		"after_event", a.after, "time_left", a.timeLeft, "took", a.took,
		"outcome", outcomeOf(a.err), "error", protocol.CauseOf(a.err))
}

// online is one caller's request on its way.
type online struct {
	g        *Gateway
	route    *fleet.Route
	request  *fleet.Request
	sink     fleet.Sink
	deadline time.Time
	bounded  bool

	// after is the number of the last event that the caller has, begunAfter the one
	// that it had when the attempt began.
	after      string
	begunAfter string
	// begun is set once the caller has the head of an answer.
	begun bool
	// tried holds the targets that shall not get the request again.
	tried map[string]bool
	// trail holds the attempts so far; service, version and known are what the
	// first was decided by.
	trail   []attempted
	service string
	version int64
	known   int
	// runs counts the targets that may have run the request.
	runs     int
	refusals int
	// reason says why the request was given up.
	reason string
}

// errElsewhere ends an attempt whose request may go on at another target; its
// subtypes say why, for the log.
var (
	errElsewhere   = protocol.Errors.NewType("elsewhere")
	errNotRun      = errElsewhere.NewSubtype("target_full")
	errOtherTarget = errElsewhere.NewSubtype("another_lifetime")
	errForeign     = errElsewhere.NewSubtype("foreign_answer")
	errUnsigned    = errElsewhere.NewSubtype("unsigned_answer")
	errNoAnswer    = errElsewhere.NewSubtype("no_answer")
	errCut         = errElsewhere.NewSubtype("answer_cut")
	errTargetFails = errElsewhere.NewSubtype("target_fails")
)

func (o *online) run(ctx context.Context) error {
	o.service = o.route.Pick(rand.Float64())
	if c := o.g.configs.Current(); c != nil {
		o.version = c.Version
	}
	for {
		targets := o.g.targets.Current().Services[o.service]
		o.known = len(targets)
		choice, found := o.choose(ctx, targets)
		if !found && len(targets) == 0 && len(o.trail) == 0 {
			o.reason = "the service has no target"
			return fleet.RetryAfter(fleet.ErrRefused.New("service %s has no target", o.service), registerTime)
		}
		if !found {
			return o.giveUp(ctx, "no target left")
		}
		err := o.try(ctx, choice)
		if err == nil || !errorx.IsOfType(err, errElsewhere) {
			return err
		}
		o.tried[choice.Target.ID] = true
		if ctx.Err() != nil || !o.mayGoOn() {
			return o.giveUp(ctx, "no attempt left")
		}
	}
}

// try makes one attempt and notes it.
func (o *online) try(ctx context.Context, choice balancing.Choice) error {
	begun := time.Now()
	note := attempted{choice: choice, after: o.after}
	note.targetsAge, _ = o.g.targetTail.Age()
	if o.bounded {
		note.timeLeft = time.Until(o.deadline)
	}
	note.err = o.attempt(ctx, choice.Target)
	o.g.table.End(choice.Target)
	note.took = time.Since(begun)
	o.trail = append(o.trail, note)
	o.g.metrics.attempts.WithLabelValues(outcomeOf(note.err)).Inc()
	return note.err
}

// mayGoOn reports whether the request may be sent once more.
func (o *online) mayGoOn() bool {
	if o.refusals >= maxRefusals {
		return false
	}
	return o.runs == 0 || o.route.Repeatable() && o.runs < o.route.Attempts
}

// giveUp returns the final error.
func (o *online) giveUp(ctx context.Context, why string) error {
	o.reason = why
	switch {
	case o.runs == 0 && !o.begun:
		return refuse("%s after %d attempts", why, len(o.trail))
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return fleet.ErrTimedOut.New("%s", why)
	default:
		return fleet.ErrUncertain.New("%s", why)
	}
}

// attempt sends the request to the target. errElsewhere lets it go on at another.
func (o *online) attempt(ctx context.Context, target *fleet.Target) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := newStall(o, target, cancel)
	defer stall.stop()
	o.begunAfter = o.after
	a := fleet.Attempt{Request: o.request, Target: target, After: o.after}
	if o.bounded {
		a.TimeLeft = time.Until(o.deadline)
	}
	answer, err := o.g.params.Sender.Send(ctx, a)
	if err != nil {
		return o.lost(ctx, target, err)
	}
	defer answer.Close()
	if answer.Load != nil {
		o.g.table.RecordLoad(target, *answer.Load)
	}
	switch answer.Verdict {
	case fleet.VerdictNotRun, fleet.VerdictOtherTarget:
		_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxWholeBytes)) // so that the connection can be kept
		o.refusals++
		if answer.Verdict == fleet.VerdictOtherTarget {
			o.g.targets.RemoveLifetime(target)
			return errOtherTarget.New("another lifetime answers")
		}
		return errNotRun.New("the target has not run it")
	case fleet.VerdictForeign:
		o.runs++
		return errForeign.New("answer of another request")
	}
	o.runs++
	if !answer.Signed {
		return errUnsigned.New("unsigned answer with status %d", answer.Status)
	}
	if o.route.Kind == fleet.KindStream && answer.Status == http.StatusOK {
		return o.stream(ctx, target, answer, stall)
	}
	return o.whole(ctx, target, answer)
}

// lost judges an attempt without an answer.
func (o *online) lost(ctx context.Context, target *fleet.Target, err error) error {
	if ctx.Err() != nil && !isStall(ctx) {
		if !errorx.IsOfType(err, fleet.ErrNotDelivered) {
			o.runs++
		}
		return o.giveUp(ctx, "the time is over or the caller has gone")
	}
	o.suspect(ctx, target)
	if !errorx.IsOfType(err, fleet.ErrNotDelivered) {
		o.runs++
		o.noteBreak(ctx, target)
	}
	return errNoAnswer.Wrap(err, "no answer")
}

// whole passes an answer on once it is whole.
func (o *online) whole(ctx context.Context, target *fleet.Target, answer *fleet.Answer) error {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeBytes+1))
	if err != nil {
		return o.broken(ctx, target, err)
	}
	if len(body) > maxWholeBytes {
		return o.giveUp(ctx, "the answer is too large to be held")
	}
	if answer.Status >= http.StatusInternalServerError && o.mayGoOn() {
		return errTargetFails.New("target answers %d", answer.Status)
	}
	if promises(answer.Status) {
		return o.giveUp(ctx, "the target's answer promises what it does not know")
	}
	if o.begun {
		return fleet.ErrBroken.New("target answers %d to a stream that goes on", answer.Status)
	}
	o.g.table.RecordSuccess(target)
	if answer.Length < 0 && o.request.Method != http.MethodHead {
		answer.Header.Set("Content-Length", strconv.Itoa(len(body)))
		answer.Length = int64(len(body))
	}
	o.begun = true
	if err := o.sink.Begin(answer); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return o.sink.Write(body)
}

// promises reports whether the status would tell the caller that nothing has run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (o *online) broken(ctx context.Context, target *fleet.Target, err error) error {
	if ctx.Err() != nil && !isStall(ctx) {
		return o.giveUp(ctx, "the time is over or the caller has gone")
	}
	o.suspect(ctx, target)
	o.noteBreak(ctx, target)
	return errCut.Wrap(err, "answer broke off")
}

// suspect tells the table of a target that failed, or that was left because it
// did not begin in time: it may only be busy.
func (o *online) suspect(ctx context.Context, target *fleet.Target) {
	if isStall(ctx) && !o.begun {
		o.g.table.RecordWithdrawal(target)
		return
	}
	o.g.table.RecordFailure(target)
}

// stream passes events on as they come, each whole.
func (o *online) stream(ctx context.Context, target *fleet.Target, answer *fleet.Answer, stall *stall) error {
	buffer := make([]byte, streamBufferBytes)
	var pending []byte
	for {
		n, err := answer.Body.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := eventstream.Whole(pending); end > 0 {
			stall.event()
			if failure := o.pass(answer, pending[:end]); failure != nil {
				return failure
			}
			pending = append(pending[:0], pending[end:]...)
		}
		if errors.Is(err, io.EOF) {
			o.g.table.RecordSuccess(target)
			return o.pass(answer, pending)
		}
		if err != nil {
			return o.broken(ctx, target, err)
		}
	}
}

// pass sends whole events to the caller.
func (o *online) pass(answer *fleet.Answer, events []byte) error {
	if !o.begun {
		o.begun = true
		answer.Length = -1
		if err := o.sink.Begin(answer); err != nil {
			return err
		}
	}
	if len(events) == 0 {
		return nil
	}
	if id := eventstream.LastID(events); id != "" {
		o.after = id
	}
	return o.sink.Write(events)
}
