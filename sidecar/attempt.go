package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/joomcode/errorx"
	"github.com/vmihailenco/msgpack/v5"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

// maxAttemptBytes is the maximum size of an encoded attempt.
const maxAttemptBytes = 64 << 20

// attemptReadTimeout bounds the time for reading an attempt from its connection.
const attemptReadTimeout = 10 * time.Second

func (s *Sidecar) serveAttempt(w http.ResponseWriter, r *http.Request) {
	var a protocol.AttemptRequest
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(attemptReadTimeout))
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	if err := msgpack.NewDecoder(http.MaxBytesReader(w, r.Body, maxAttemptBytes)).Decode(&a); err != nil {
		transport.WriteProblem(w, protocol.ErrBadRequest.Wrap(err, "decode attempt"), "")
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	s.ring.Clock().Observe(a.Clock)
	runner := s.runners[a.Target]
	if runner == nil {
		transport.WriteProblem(w, protocol.ErrNoTarget.New("sidecar has no target %s", a.Target), "")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), a.TimeLeft())
	defer cancel()
	frames := transport.NewFrameWriter(w, a.Attempt, s.ring.Clock().Now)
	defer frames.Close()
	err := s.runAttempt(ctx, runner, &a, frames)
	if errorx.IsOfType(err, errPreempted) {
		err = protocol.ErrTruncated.Wrap(err, "attempt")
	}
	report := runner.report()
	if err != nil {
		s.ring.Add(a.Trace, "attempt failed", "attempt", a.Attempt, "target", a.Target, "error", protocol.ProblemOf(err).Title)
		klog.V(2).InfoS("attempt failed", "trace", a.Trace, "attempt", a.Attempt, "target", a.Target, "error", protocol.CauseOf(err))
		_ = frames.Fail(err, &report)
		return
	}
	_ = frames.End(&report)
}

// runAttempt waits for the attempt to be admitted and runs it on its target.
func (s *Sidecar) runAttempt(ctx context.Context, r *runner, a *protocol.AttemptRequest, frames *transport.FrameWriter) error {
	ctx, release, err := s.admitAttempt(ctx, r, a)
	if err != nil {
		s.metrics.refused.Inc()
		return err
	}
	defer release()
	s.metrics.admitted.WithLabelValues(string(a.Class)).Inc()
	s.ring.Add(a.Trace, "attempt admitted", "attempt", a.Attempt, "target", a.Target, "class", string(a.Class))
	switch {
	case a.Call.Model:
		if err := frames.Head(http.StatusOK, "", nil); err != nil {
			return err
		}
		return r.generate(ctx, a, time.Time{}, frames.Token)
	case a.Repeatable:
		result, err := r.callService(ctx, a)
		if err != nil {
			return err
		}
		return frames.Head(result.Status, result.ContentType, result.Body)
	default:
		result, err := s.runAtMostOnce(ctx, r, a)
		if err != nil {
			return err
		}
		return frames.Head(result.Status, result.ContentType, result.Body)
	}
}
