package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// recordTimeout bounds one try to append a record through an entry.
	recordTimeout = 5 * time.Second
	// completeWait bounds how long an answer waits for its result to be durable.
	completeWait = 2 * time.Second
)

// execution is one delivery of an attempt. Its holder is unique, so that an
// attempt that is delivered twice, or again after this process was replaced,
// does not find the start of the other delivery to be its own.
type execution struct {
	*protocol.AttemptRequest
	holder string
}

// runOnce runs a call that must not run twice: it calls the target only after
// the log shows that this attempt holds the key's one execution. An error whose
// outcome is not_run means that the target never got the call from here.
func (s *Sidecar) runOnce(ctx context.Context, r *runner, a *protocol.AttemptRequest) (protocol.Result, error) {
	if err := s.outbox.reserve(); err != nil {
		return protocol.Result{}, err
	}
	defer s.outbox.free()
	x := &execution{AttemptRequest: a, holder: protocol.NewHolder(s.settings.Process.Instance)}
	if err := s.start(ctx, x); err != nil {
		return protocol.Result{}, err
	}
	if err := r.mayBegin(); err != nil {
		s.release(x)
		return protocol.Result{}, err
	}
	s.ring.Add(a.Trace, "call started", "attempt", a.Attempt, "target", a.Target)
	// The call goes on without its caller: its result is kept under the key.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.TimeLeft())
	defer cancel()
	result, err := r.do(callCtx, a, false)
	switch {
	case err == nil:
	case errorx.IsOfType(err, protocol.ErrNotSent), errorx.IsOfType(err, protocol.ErrBadRequest):
		s.release(x)
		return result, err
	default:
		return result, protocol.ErrOutcomeUnknown.Wrap(err, "the call may have run")
	}
	s.ring.Add(a.Trace, "call completed", "attempt", a.Attempt, "target", a.Target)
	s.complete(ctx, x, result)
	return result, nil
}

// start appends the start of the attempt and reads back whether it was first.
// Where it fails, the attempt never runs, and a release says so.
func (s *Sidecar) start(ctx context.Context, x *execution) error {
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
	s.release(x)
	if errorx.IsOfType(err, protocol.ErrKeyInUse) {
		return err
	}
	return protocol.ErrLogUnavailable.Wrap(err, "the start is not certain")
}

// release says in the log that this delivery will never run the attempt.
func (s *Sidecar) release(x *execution) {
	s.outbox.add(protocol.Record{ID: x.holder + "/release", Release: &protocol.RequestRelease{
		Key: x.Key, Attempt: x.Attempt, Holder: x.holder,
	}})
}

// complete stores the result of a call. Without a durable result the caller
// still gets its answer, and the append goes on in the background.
func (s *Sidecar) complete(ctx context.Context, x *execution, result protocol.Result) {
	rec := protocol.Record{ID: x.holder + "/complete", Clock: s.ring.Clock().Now(), Complete: &protocol.RequestComplete{
		Key: x.Key, Attempt: x.Attempt, Fingerprint: x.Call.Fingerprint(), Result: result,
	}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), completeWait)
	defer cancel()
	if err := s.append(ctx, x.Coordinator, []protocol.Record{rec}); err != nil {
		klog.InfoS("result not stored yet", "trace", x.Trace, "attempt", x.Attempt, "error", protocol.CauseOf(err))
		s.outbox.add(rec)
	}
}

func (s *Sidecar) append(ctx context.Context, coordinator string, records []protocol.Record) error {
	var reply protocol.AppendReply
	err := s.entries.call(ctx, coordinator, protocol.MethodAppend, &protocol.AppendArgs{Records: records}, &reply)
	if err != nil {
		return err
	}
	return reply.Problem.Err()
}
