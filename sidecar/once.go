package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// entryCallTimeout bounds one try to append a record through an entry.
	entryCallTimeout = 5 * time.Second
	// resultStoreTimeout bounds how long an answer waits for its result to be durable.
	resultStoreTimeout = 2 * time.Second
)

// delivery is one delivery of an attempt. Its holder is unique, so that an
// attempt that is delivered twice, or again after this process was replaced,
// does not find the start of the other delivery to be its own.
type delivery struct {
	*protocol.AttemptRequest
	holder string
}

// runAtMostOnce runs a call that must not run twice: it calls the target only after
// the log shows that this attempt holds the key's one execution. An error whose
// outcome is not_run means that the target never got the call from here.
func (s *Sidecar) runAtMostOnce(ctx context.Context, r *runner, a *protocol.AttemptRequest) (protocol.Result, error) {
	if err := s.outbox.reserve(); err != nil {
		return protocol.Result{}, err
	}
	defer s.outbox.unreserve()
	x := &delivery{AttemptRequest: a, holder: protocol.NewHolder(s.settings.Process.Instance)}
	if err := s.recordStart(ctx, x); err != nil {
		return protocol.Result{}, err
	}
	if err := r.checkAccepting(); err != nil {
		s.recordRelease(x)
		return protocol.Result{}, err
	}
	s.ring.Add(a.Trace, "call started", "attempt", a.Attempt, "target", a.Target)
	// The call goes on without its caller: its result is kept under the key.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.TimeLeft())
	defer cancel()
	result, err := r.callService(callCtx, a, false)
	switch {
	case err == nil:
	case errorx.IsOfType(err, protocol.ErrNotSent), errorx.IsOfType(err, protocol.ErrBadRequest):
		s.recordRelease(x)
		return result, err
	default:
		return result, protocol.ErrOutcomeUnknown.Wrap(err, "the call may have run")
	}
	s.ring.Add(a.Trace, "call completed", "attempt", a.Attempt, "target", a.Target)
	s.storeResult(ctx, x, result)
	return result, nil
}

// recordStart appends the start of the attempt and reads back whether it was first.
// Where it fails, the attempt never runs, and a release says so.
func (s *Sidecar) recordStart(ctx context.Context, x *delivery) error {
	args := &protocol.StartArgs{
		RecordID: x.holder + "/start",
		Start: protocol.RequestStart{
			Key:         x.Key,
			Attempt:     x.Attempt,
			Holder:      x.holder,
			Fingerprint: x.Call.Fingerprint(),
		},
	}
	var reply protocol.StartReply
	err := s.entries.call(ctx, x.Coordinator, protocol.MethodStart, args, &reply)
	if err == nil {
		err = reply.Problem.Err()
	}
	switch {
	case err == nil && reply.Won:
		return nil
	case err == nil:
		err = protocol.ErrInternal.New("the start has no verdict")
	case errorx.IsOfType(err, protocol.ErrAttemptVoid), errorx.IsOfType(err, protocol.ErrKeyConflict):
		return err // the log will never let this attempt start
	}
	s.recordRelease(x)
	if errorx.IsOfType(err, protocol.ErrKeyInUse) {
		return err
	}
	return protocol.ErrLogUnavailable.Wrap(err, "the start is not certain")
}

// recordRelease says in the log that this delivery will never run the attempt.
func (s *Sidecar) recordRelease(x *delivery) {
	s.outbox.add(protocol.Record{ID: x.holder + "/release", Release: &protocol.RequestRelease{
		Key: x.Key, Attempt: x.Attempt, Holder: x.holder,
	}})
}

// storeResult stores the result of a call. Without a durable result the caller
// still gets its answer, and the append goes on in the background.
func (s *Sidecar) storeResult(ctx context.Context, x *delivery, result protocol.Result) {
	rec := protocol.Record{ID: x.holder + "/complete", Clock: s.ring.Clock().Now(), Complete: &protocol.RequestComplete{
		Key: x.Key, Attempt: x.Attempt, Fingerprint: x.Call.Fingerprint(), Result: result,
	}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultStoreTimeout)
	defer cancel()
	if err := s.appendRecords(ctx, x.Coordinator, []protocol.Record{rec}); err != nil {
		klog.InfoS("result not stored yet", "trace", x.Trace, "attempt", x.Attempt, "error", protocol.CauseOf(err))
		s.outbox.add(rec)
	}
}

func (s *Sidecar) appendRecords(ctx context.Context, coordinator string, records []protocol.Record) error {
	var reply protocol.AppendReply
	err := s.entries.call(ctx, coordinator, protocol.MethodAppend, &protocol.AppendArgs{Records: records}, &reply)
	if err != nil {
		return err
	}
	return reply.Problem.Err()
}
