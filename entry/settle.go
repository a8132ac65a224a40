package entry

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// lateAnswerTimeout is how long an entry waits for the result of a call that was
	// started and is not known to run.
	lateAnswerTimeout = 2 * time.Second
	// runningCheckInterval is the time between two questions whether a call still runs.
	runningCheckInterval = 500 * time.Millisecond
	// confirmTimeout bounds the look for an earlier result before a refusal.
	confirmTimeout = 2 * time.Second
)

// resolveLostAttempt finds out what became of a non-idempotent attempt whose answer is lost.
// It returns the result where the log has one, ErrVoided where the attempt will
// never run, and ErrUnknownOutcome otherwise. An attempt that lost its key to
// another one waits for that one.
func (e *Entry) resolveLostAttempt(o *request, attempt string, cause error) (*protocol.Result, error) {
	ctx, cancel := context.WithTimeout(e.context(), o.service.Timeout())
	defer cancel()
	if errorx.IsOfType(cause, protocol.ErrKeyInUse) {
		return e.awaitStarted(ctx, o)
	}
	rec := protocol.Record{ID: attempt + "/void", Void: &protocol.RequestVoid{Key: o.key, Attempt: attempt}}
	voidCtx, cancelVoid := context.WithTimeout(ctx, lateAnswerTimeout)
	defer cancelVoid()
	if err := e.appendAndFold(voidCtx, rec); err != nil {
		return nil, protocol.ErrOutcomeUnknown.Wrap(cause, "the log cannot tell whether the call ran")
	}
	if e.requests.Voided(o.key, attempt) {
		return nil, protocol.ErrAttemptVoid.New("the attempt was given up before it started")
	}
	return e.awaitStarted(ctx, o)
}

// awaitStarted waits for the result of the attempt that has started, as long as
// its sidecar runs it and a little longer. It fails with ErrVoided where the
// attempt turns out never to run, and with ErrUnknownOutcome.
func (e *Entry) awaitStarted(ctx context.Context, o *request) (*protocol.Result, error) {
	if err := e.foldToEnd(ctx); err != nil {
		return nil, protocol.ErrOutcomeUnknown.Wrap(err, "the log cannot tell whether the call ran")
	}
	lastRunning := time.Now()
	for {
		r, _ := e.requests.Get(o.key)
		switch {
		case r.Fingerprint != "" && r.Fingerprint != o.fingerprint:
			return nil, keyConflictError()
		case r.ResultAt != 0:
			return e.readStoredResult(ctx, r.ResultAt)
		case r.Started == nil:
			return nil, protocol.ErrAttemptVoid.New("the attempt that had the key never runs")
		}
		if e.isRunning(ctx, r.Started) {
			lastRunning = time.Now()
		}
		if ctx.Err() != nil || time.Since(lastRunning) >= lateAnswerTimeout {
			klog.InfoS("outcome unknown", "trace", o.trace, "attempt", r.Started.Attempt, "holder", r.Started.Holder)
			return nil, protocol.ErrOutcomeUnknown.New("a call was started and has no result yet")
		}
		e.awaitKeyChange(ctx, o.key, r.ChangedAt)
	}
}

// isRunning asks the sidecar of a started attempt whether it runs.
func (e *Entry) isRunning(ctx context.Context, s *protocol.RequestStart) bool {
	instance := protocol.InstanceOf(s.Holder)
	for _, i := range e.members.Instances() {
		if i.Name != instance {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, runningCheckInterval)
		defer cancel()
		var reply protocol.RunningReply
		err := e.peers.Call(ctx, i.Peer, protocol.MethodRunning, &protocol.RunningArgs{Attempt: s.Attempt}, &reply)
		return err == nil && reply.Running
	}
	return false
}

// awaitKeyChange waits until a record later than at changed the key, for as long as
// the holder's next question.
func (e *Entry) awaitKeyChange(ctx context.Context, key string, at protocol.Position) {
	const interval = 10 * time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, runningCheckInterval)
	defer cancel()
	for ctx.Err() == nil {
		if r, _ := e.requests.Get(key); r.ChangedAt != at {
			return
		}
		pause.For(ctx, interval)
	}
}

// confirmNotRun checks a refusal that says not_run of a key that the caller may have
// sent before: it returns the result of the earlier request where there is one,
// and ErrUnknownOutcome where it may have run.
func (e *Entry) confirmNotRun(o *request, refusal error) (executionResult, error) {
	if !o.callerKey || protocol.OutcomeOf(refusal) != protocol.OutcomeNotRun || errorx.IsOfType(refusal, protocol.ErrKeyConflict) {
		return executionResult{}, refusal
	}
	ctx, cancel := context.WithTimeout(e.context(), confirmTimeout)
	defer cancel()
	err := e.checkRefusal(o.key, refusal)
	if err == refusal || e.foldToEnd(ctx) != nil {
		return executionResult{}, err
	}
	result, err := e.awaitStarted(ctx, o)
	switch {
	case err == nil:
		return executionResult{result, true}, nil
	case errorx.IsOfType(err, protocol.ErrAttemptVoid):
		return executionResult{}, refusal
	default:
		return executionResult{}, err
	}
}

// checkRefusal returns the refusal, or what stands against it: a result or a start of
// the key up to the end of the log. While the log cannot be read it asks the
// other entries, since one that has shown a result has folded it.
func (e *Entry) checkRefusal(key string, refusal error) error {
	ctx, cancel := context.WithTimeout(e.context(), confirmTimeout)
	defer cancel()
	logErr := e.foldToEnd(ctx)
	own, _ := e.requests.Get(key)
	known := protocol.KnownReply{Started: own.Started != nil, Completed: own.ResultAt != 0}
	if logErr != nil {
		if err := e.queryEntries(ctx, key, &known); err != nil {
			return err
		}
	}
	switch {
	case known.Completed:
		return protocol.ErrResultUnreadable.New("the request has ended; its result cannot be read here now")
	case known.Started:
		return protocol.ErrOutcomeUnknown.New("an earlier call was started and has no result yet")
	default:
		return refusal
	}
}

// queryEntries adds what the other entries have folded of the key. It fails with
// ErrUnknownOutcome where one does not answer.
func (e *Entry) queryEntries(ctx context.Context, key string, known *protocol.KnownReply) error {
	for _, i := range e.members.Entries() {
		if i.Peer == e.settings.Process.Peer {
			continue
		}
		var reply protocol.KnownReply
		if err := e.peers.Call(ctx, i.Peer, protocol.MethodKnown, &protocol.KnownArgs{Key: key}, &reply); err != nil {
			return protocol.ErrOutcomeUnknown.Wrap(err, "entry %s cannot say whether the key has run", i.Name)
		}
		known.Started = known.Started || reply.Started
		known.Completed = known.Completed || reply.Completed
	}
	return nil
}

// appendAndFold appends a record to the work stream and waits until this
// process has folded it.
func (e *Entry) appendAndFold(ctx context.Context, recs ...protocol.Record) error {
	e.ring.Clock().Stamp(recs)
	_, err := e.workStream.appendAndWait(ctx, recs...)
	return err
}

// appendAndWait does the same and returns the position of the last record.
func (s *stream) appendAndWait(ctx context.Context, recs ...protocol.Record) (protocol.Position, error) {
	last, err := s.writer.Append(ctx, recs...)
	if err != nil {
		return 0, err
	}
	return last, s.follower.WaitFor(ctx, last.Offset())
}
