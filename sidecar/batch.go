package sidecar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/protocol"
)

// itemTimeout bounds one attempt of a batch item.
const itemTimeout = 10 * time.Minute

// batchItem is one leased item on its way through the sidecar.
type batchItem struct {
	entry   string
	attempt *protocol.AttemptRequest
	finish  *protocol.FinishArgs
}

func (s *Sidecar) newBatchItem(r *runner, entry string, item protocol.WorkItem) *batchItem {
	return &batchItem{
		entry: entry,
		attempt: &protocol.AttemptRequest{
			Attempt: item.Lease,
			Trace:   item.Trace,
			Target:  r.target.Name,
			Class:   protocol.ClassBatch,
			Call:    item.Call,
			Resume:  item.Resume,
		},
		finish: &protocol.FinishArgs{
			Instance: s.settings.Process.Instance,
			Job:      item.Job,
			Index:    item.Index,
			CustomID: item.CustomID,
			Lease:    item.Lease,
			Resume:   item.Resume,
		},
	}
}

// runItem runs an admitted item and notes its outcome. It returns the error of
// the target.
func (s *Sidecar) runItem(ctx context.Context, r *runner, i *batchItem, startBy time.Time) error {
	a, finish := i.attempt, i.finish
	s.metrics.admitted.WithLabelValues(string(protocol.ClassBatch)).Inc()
	s.ring.Add(a.Trace, "item started", "job", finish.Job, "target", a.Target, "lease", a.Attempt)
	tokens := append([]string(nil), a.Resume...)
	finish.Resume = nil
	err := r.generate(ctx, a, startBy, func(token string) error {
		tokens = append(tokens, token)
		return nil
	})
	setOutcome(finish, tokens, err)
	s.ring.Add(a.Trace, "item ended", "job", finish.Job, "target", a.Target, "lease", a.Attempt)
	return err
}

// setOutcome fills in the result, or the text so far and, where the target
// failed, the reason.
func setOutcome(finish *protocol.FinishArgs, tokens []string, err error) {
	switch {
	case err == nil:
		finish.Result = &protocol.Result{
			Outcome:     protocol.OutcomeCompleted,
			Status:      http.StatusOK,
			ContentType: "text/plain; charset=utf-8",
			Body:        []byte(strings.Join(tokens, "")),
		}
	case errorx.IsOfType(err, protocol.ErrBadRequest), errorx.IsOfType(err, protocol.ErrQuarantined):
		finish.Result = &protocol.Result{
			Outcome:     protocol.OutcomeFailed,
			Status:      http.StatusUnprocessableEntity,
			ContentType: "text/plain; charset=utf-8",
			Body:        []byte(protocol.ProblemOf(err).Detail),
		}
	case returnsWithoutFailure(err):
		finish.Resume = tokens
	default:
		finish.Resume = tokens
		finish.Failure = protocol.ProblemOf(err).Detail
	}
}

// returnItem returns an item until an entry has taken it.
func (s *Sidecar) returnItem(ctx context.Context, entry string, args *protocol.FinishArgs) {
	for ctx.Err() == nil {
		var reply protocol.FinishReply
		err := s.batchEntries.call(ctx, entry, protocol.MethodFinish, args, &reply)
		if err == nil {
			err = reply.Problem.Err()
		}
		if err == nil {
			return
		}
		klog.V(1).InfoS("item not returned yet", "job", args.Job, "index", args.Index, "error", protocol.CauseOf(err))
		pause.For(ctx, appendRetryDelay)
	}
}

// returnsWithoutFailure reports whether the item goes back without a failure: what crashes
// targets is judged by the quarantine.
func returnsWithoutFailure(err error) bool {
	for _, kind := range []*errorx.Type{
		errPreempted, protocol.ErrBusy, protocol.ErrLeaving, protocol.ErrTargetCrashed, protocol.ErrCrashUnstored,
		protocol.ErrNotSent, protocol.ErrCancelled,
	} {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return false
}
