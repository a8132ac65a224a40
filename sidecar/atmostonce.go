package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// entryCallTimeout bounds one call to an entry, such as the append of a record.
	entryCallTimeout = 5 * time.Second
	// resultStoreTimeout bounds how long a response waits for its result to be durable.
	resultStoreTimeout = 2 * time.Second
)

// delivery is one delivery of an attempt. Its holder is unique: if an attempt is
// delivered twice, or again after this process was replaced, neither delivery takes
// the start record of the other for its own.
type delivery struct {
	*protocol.AttemptRequest
	holder string
}

// runAtMostOnce runs a call that must not run twice. It calls the target only after
// the log shows that this attempt holds the only execution of the key. An error with
// the outcome not_run means that this sidecar never sent the call to the target.
func (s *Sidecar) runAtMostOnce(ctx context.Context, r *runner, a *protocol.AttemptRequest) (protocol.Result, error) {
	if err := s.outbox.reserve(); err != nil {
		return protocol.Result{}, err
	}
	defer s.outbox.unreserve()
	d := &delivery{AttemptRequest: a, holder: protocol.NewHolder(s.settings.Process.Instance)}
	if err := s.recordStart(ctx, d); err != nil {
		return protocol.Result{}, err
	}
	if err := r.checkAccepting(); err != nil {
		s.recordRelease(d)
		return protocol.Result{}, err
	}
	s.ring.Add(a.Trace, "call started", "attempt", a.Attempt, "target", a.Target)
	// The call continues if its caller disconnects, because its result is stored under
	// the key.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.TimeLeft())
	defer cancel()
	result, err := r.callService(callCtx, a)
	switch {
	case err == nil:
	case errorx.IsOfType(err, protocol.ErrNotSent), errorx.IsOfType(err, protocol.ErrBadRequest):
		s.recordRelease(d)
		return result, err
	default:
		return result, protocol.ErrOutcomeUnknown.Wrap(err, "the call may have run")
	}
	s.ring.Add(a.Trace, "call completed", "attempt", a.Attempt, "target", a.Target)
	s.storeResult(ctx, d, result)
	return result, nil
}

// recordStart appends the start of the attempt and checks that it was the first start
// for the key. If it fails, the attempt never runs, and a release record says so unless
// the log already rules the attempt out.
func (s *Sidecar) recordStart(ctx context.Context, d *delivery) error {
	args := &protocol.StartArgs{
		RecordID: d.holder + "/start",
		Start: protocol.RequestStart{
			Key:         d.Key,
			Attempt:     d.Attempt,
			Holder:      d.holder,
			Fingerprint: d.Call.Fingerprint(),
		},
	}
	var reply protocol.StartReply
	err := s.entries.call(ctx, d.Coordinator, protocol.MethodStart, args, &reply)
	if err == nil {
		err = reply.Problem.Err()
	}
	switch {
	case err == nil && reply.Won:
		return nil
	case err == nil:
		err = protocol.ErrInternal.New("the entry did not say whether the start was accepted")
	case errorx.IsOfType(err, protocol.ErrAttemptVoid), errorx.IsOfType(err, protocol.ErrKeyConflict):
		return err // no release needed: the log will never let this attempt start
	}
	s.recordRelease(d)
	if errorx.IsOfType(err, protocol.ErrKeyInUse) {
		return err
	}
	return protocol.ErrLogUnavailable.Wrap(err, "cannot confirm that the start is in the log")
}

// recordRelease records in the log that this delivery will never run the attempt.
func (s *Sidecar) recordRelease(d *delivery) {
	s.outbox.add(protocol.Record{ID: d.holder + "/release", Release: &protocol.RequestRelease{
		Key: d.Key, Attempt: d.Attempt, Holder: d.holder,
	}})
}

// storeResult stores the result of a call. If the result is not durable in time, the
// caller still gets its response and the append is retried in the background.
func (s *Sidecar) storeResult(ctx context.Context, d *delivery, result protocol.Result) {
	rec := protocol.Record{ID: d.holder + "/complete", Clock: s.ring.Clock().Now(), Complete: &protocol.RequestComplete{
		Key: d.Key, Attempt: d.Attempt, Fingerprint: d.Call.Fingerprint(), Result: result,
	}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultStoreTimeout)
	defer cancel()
	if err := s.appendRecords(ctx, d.Coordinator, []protocol.Record{rec}); err != nil {
		klog.InfoS("result not stored; retrying in the background", "trace", d.Trace, "attempt", d.Attempt, "error", protocol.CauseOf(err))
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
