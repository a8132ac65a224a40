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
	// lateAnswerTimeout is how long an entry waits for the result of a call that
	// was started and that no sidecar reports as running.
	lateAnswerTimeout = 2 * time.Second
	// runningCheckInterval is the time between two checks whether a call is still
	// running.
	runningCheckInterval = 500 * time.Millisecond
	// confirmTimeout bounds the search for an earlier result before a request is
	// refused.
	confirmTimeout = 2 * time.Second
)

// resolveLostAttempt determines the outcome of a non-idempotent attempt whose
// response was lost. It returns the result if the log has one, ErrAttemptVoid if the
// attempt will never run, and ErrOutcomeUnknown otherwise. If another attempt
// holds the key, it waits for that attempt's result.
func (e *Entry) resolveLostAttempt(req *request, attempt string, cause error) (*protocol.Result, error) {
	ctx, cancel := context.WithTimeout(e.context(), req.service.Timeout())
	defer cancel()
	if errorx.IsOfType(cause, protocol.ErrKeyInUse) {
		return e.awaitStarted(ctx, req)
	}
	rec := protocol.Record{ID: attempt + "/void", Void: &protocol.RequestVoid{Key: req.key, Attempt: attempt}}
	voidCtx, cancelVoid := context.WithTimeout(ctx, lateAnswerTimeout)
	defer cancelVoid()
	if err := e.appendAndFold(voidCtx, rec); err != nil {
		return nil, protocol.ErrOutcomeUnknown.Wrap(cause, "the log does not show whether the call ran")
	}
	if e.requests.Voided(req.key, attempt) {
		return nil, protocol.ErrAttemptVoid.New("the attempt was given up before it started")
	}
	return e.awaitStarted(ctx, req)
}

// awaitStarted waits for the result of the started attempt while its sidecar
// reports it as running, and for lateAnswerTimeout after that. It fails with
// ErrAttemptVoid if the attempt will never run, and with ErrOutcomeUnknown if there
// is no result in time.
func (e *Entry) awaitStarted(ctx context.Context, req *request) (*protocol.Result, error) {
	if err := e.foldToEnd(ctx); err != nil {
		return nil, protocol.ErrOutcomeUnknown.Wrap(err, "the log does not show whether the call ran")
	}
	lastRunning := time.Now()
	for {
		r, _ := e.requests.Get(req.key)
		switch {
		case r.Fingerprint != "" && r.Fingerprint != req.fingerprint:
			return nil, keyConflictError()
		case r.ResultAt != 0:
			return e.readStoredResult(ctx, r.ResultAt)
		case r.Started == nil:
			return nil, protocol.ErrAttemptVoid.New("the attempt that held the key will never run")
		}
		if e.isRunning(ctx, r.Started) {
			lastRunning = time.Now()
		}
		if ctx.Err() != nil || time.Since(lastRunning) >= lateAnswerTimeout {
			klog.InfoS("outcome unknown", "trace", req.trace, "attempt", r.Started.Attempt, "holder", r.Started.Holder)
			return nil, protocol.ErrOutcomeUnknown.New("a call was started and has no result yet")
		}
		e.awaitKeyChange(ctx, req.key, r.ChangedAt)
	}
}

// isRunning asks the sidecar of a started attempt whether the attempt is
// running.
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

// awaitKeyChange waits until a record after position at changes the key's state,
// or until the next check of the holder is due.
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

// confirmNotRun checks a refusal with outcome not_run if the caller may have
// sent the key before. It returns the result of the earlier request if there is
// one, and ErrOutcomeUnknown if that request may have run.
func (e *Entry) confirmNotRun(req *request, refusal error) (executionResult, error) {
	if !req.callerKey || protocol.OutcomeOf(refusal) != protocol.OutcomeNotRun || errorx.IsOfType(refusal, protocol.ErrKeyConflict) {
		return executionResult{}, refusal
	}
	ctx, cancel := context.WithTimeout(e.context(), confirmTimeout)
	defer cancel()
	err := e.checkRefusal(req.key, refusal)
	if err == refusal || e.foldToEnd(ctx) != nil {
		return executionResult{}, err
	}
	result, err := e.awaitStarted(ctx, req)
	switch {
	case err == nil:
		return executionResult{result, true}, nil
	case errorx.IsOfType(err, protocol.ErrAttemptVoid):
		return executionResult{}, refusal
	default:
		return executionResult{}, err
	}
}

// checkRefusal returns the refusal, unless the log up to its end has a result or
// a start for the key; then it returns an error that says so. If the log cannot
// be read it asks the other entries, since an entry that has returned a result
// has folded it.
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

// queryEntries adds what the other entries have folded for the key. It fails
// with ErrOutcomeUnknown if one of them does not reply.
func (e *Entry) queryEntries(ctx context.Context, key string, known *protocol.KnownReply) error {
	for _, i := range e.members.Entries() {
		if i.Peer == e.settings.Process.Peer {
			continue
		}
		var reply protocol.KnownReply
		if err := e.peers.Call(ctx, i.Peer, protocol.MethodKnown, &protocol.KnownArgs{Key: key}, &reply); err != nil {
			return protocol.ErrOutcomeUnknown.Wrap(err, "entry %s did not report whether the key has run", i.Name)
		}
		known.Started = known.Started || reply.Started
		known.Completed = known.Completed || reply.Completed
	}
	return nil
}

// appendAndFold appends records to the work stream and waits until this process
// has folded them.
func (e *Entry) appendAndFold(ctx context.Context, records ...protocol.Record) error {
	e.ring.Clock().Stamp(records)
	_, err := e.workStream.appendAndWait(ctx, records...)
	return err
}

// appendAndWait appends records, waits until they are folded, and returns the
// position of the last one.
func (s *stream) appendAndWait(ctx context.Context, records ...protocol.Record) (protocol.Position, error) {
	last, err := s.writer.Append(ctx, records...)
	if err != nil {
		return 0, err
	}
	return last, s.follower.WaitFor(ctx, last.Offset())
}
