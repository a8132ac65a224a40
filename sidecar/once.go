package sidecar

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// recordTimeout bounds one try to append a record through an entry.
const recordTimeout = 5 * time.Second

// runOnce runs a call that must not run twice: it calls the target only after
// the log shows that this attempt holds the key's one execution. An error whose
// outcome is not_run means that the target never got the call from here.
func (s *Sidecar) runOnce(ctx context.Context, r *runner, a *protocol.AttemptRequest) (protocol.Result, error) {
	if err := s.start(ctx, a); err != nil {
		return protocol.Result{}, err
	}
	s.ring.Add(a.Trace, "call started", "attempt", a.Attempt, "target", a.Target)
	// The call goes on without its caller: its result is kept under the key.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.TimeLeft())
	defer cancel()
	result, err := r.do(callCtx, a, false)
	switch {
	case err == nil:
	case errorx.IsOfType(err, protocol.ErrNotSent):
		s.release(a)
		return result, err
	default:
		return result, protocol.ErrUnknownOutcome.Wrap(err, "the call may have run")
	}
	s.ring.Add(a.Trace, "call completed", "attempt", a.Attempt, "target", a.Target)
	s.complete(ctx, a, result)
	return result, nil
}

// start appends the start of the attempt and reads back whether it was first.
// Where it fails, the attempt never runs, and a release says so.
func (s *Sidecar) start(ctx context.Context, a *protocol.AttemptRequest) error {
	args := &protocol.StartArgs{
		RecordID: a.Attempt + "/start",
		Start: protocol.RequestStart{
			Key:         a.Key,
			Attempt:     a.Attempt,
			Holder:      s.settings.Process.Instance,
			Fingerprint: a.Call.Fingerprint(),
		},
	}
	var reply protocol.StartReply
	err := s.entries.call(ctx, a.Coordinator, protocol.MethodStart, args, &reply)
	if err == nil {
		err = reply.Problem.Err()
	}
	if err == nil && reply.Won {
		return nil
	}
	s.release(a)
	if err != nil {
		return protocol.ErrLogUnavailable.Wrap(err, "the start is not certain")
	}
	return protocol.ErrVoided.New("the log gives the key to another attempt")
}

// release says in the log that this sidecar will never run the attempt. It goes
// on in the background until an entry has taken it.
func (s *Sidecar) release(a *protocol.AttemptRequest) {
	rec := protocol.Record{ID: a.Attempt + "/release", Release: &protocol.RequestRelease{
		Key: a.Key, Attempt: a.Attempt, Holder: s.settings.Process.Instance,
	}}
	s.appendInBackground(a, rec)
}

// complete stores the result of a call. Without a durable result the caller
// still gets its answer, and the append goes on in the background.
func (s *Sidecar) complete(ctx context.Context, a *protocol.AttemptRequest, result protocol.Result) {
	rec := protocol.Record{ID: a.Attempt + "/complete", Complete: &protocol.RequestComplete{
		Key: a.Key, Attempt: a.Attempt, Fingerprint: a.Call.Fingerprint(), Result: result,
	}}
	if err := s.append(context.WithoutCancel(ctx), a.Coordinator, rec); err != nil {
		klog.InfoS("result not stored yet", "trace", a.Trace, "attempt", a.Attempt, "error", err)
		s.appendInBackground(a, rec)
	}
}

func (s *Sidecar) append(ctx context.Context, coordinator string, rec protocol.Record) error {
	var reply protocol.AppendReply
	err := s.entries.call(ctx, coordinator, protocol.MethodAppend, &protocol.AppendArgs{Records: []protocol.Record{rec}}, &reply)
	if err != nil {
		return err
	}
	return reply.Problem.Err()
}

// appendRetryDelay is the time between two tries of a background append.
const appendRetryDelay = 500 * time.Millisecond

func (s *Sidecar) appendInBackground(a *protocol.AttemptRequest, rec protocol.Record) {
	s.tomb.Go(func() error {
		ctx := s.tomb.Context(context.Background())
		for s.append(ctx, a.Coordinator, rec) != nil {
			select {
			case <-time.After(appendRetryDelay):
			case <-ctx.Done():
				klog.InfoS("record given up", "trace", a.Trace, "record", rec.ID)
				return nil
			}
		}
		return nil
	})
}
