package sidecar

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// pullWait is how long an entry may hold a pull that finds nothing.
	pullWait = 200 * time.Millisecond
	// pullPause is the time before the next pull where there is no spare slot.
	pullPause = 20 * time.Millisecond
	// renewInterval is the time between two renewals of a running item's lease.
	renewInterval = time.Second
	// itemTimeout bounds one attempt of a batch item.
	itemTimeout = 10 * time.Minute
)

// pull fills the target's spare slots with batch items until ctx ends or the
// sidecar leaves, and then waits for its running items.
func (s *Sidecar) pull(ctx context.Context, r *runner) error {
	var items sync.WaitGroup
	defer items.Wait()
	for turn := 0; s.pullCtx.Err() == nil && ctx.Err() == nil; turn++ {
		spare := r.spare()
		live := s.members.Entries()
		if spare == 0 || len(live) == 0 {
			pause(s.pullCtx, pullPause)
			continue
		}
		entry := live[turn%len(live)].Peer
		for _, item := range s.pullFrom(entry, r, spare) {
			items.Go(func() { s.runItem(ctx, r, entry, item) })
		}
	}
	return nil
}

func (s *Sidecar) pullFrom(entry string, r *runner, want int) []protocol.WorkItem {
	ctx, cancel := context.WithTimeout(s.pullCtx, pullWait+protocol.HeartbeatTimeout)
	defer cancel()
	args := &protocol.PullArgs{
		Instance:   s.settings.Process.Instance,
		Target:     r.target.Name,
		Labels:     r.target.Labels,
		Want:       want,
		WaitMillis: pullWait.Milliseconds(),
	}
	var reply protocol.PullReply
	err := s.peers.Call(ctx, entry, protocol.MethodPull, args, &reply)
	if err == nil {
		err = reply.Problem.Err()
	}
	if err != nil {
		pause(s.pullCtx, pullPause)
		return nil
	}
	return reply.Items
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runItem runs one leased item and returns it to an entry.
func (s *Sidecar) runItem(ctx context.Context, r *runner, entry string, item protocol.WorkItem) {
	a := &protocol.AttemptRequest{
		Attempt: item.Lease,
		Trace:   item.Trace,
		Target:  r.target.Name,
		Class:   protocol.ClassBatch,
		Call:    item.Call,
		Resume:  item.Resume,
	}
	finish := &protocol.FinishArgs{
		Instance: s.settings.Process.Instance,
		Job:      item.Job,
		Index:    item.Index,
		CustomID: item.CustomID,
		Lease:    item.Lease,
	}
	s.generateItem(ctx, r, entry, a, finish)
	s.finish(ctx, entry, finish)
}

func (s *Sidecar) generateItem(ctx context.Context, r *runner, entry string, a *protocol.AttemptRequest, finish *protocol.FinishArgs) {
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	defer cancel()
	itemCtx, release, err := s.enter(ctx, r, a)
	if err != nil {
		finish.Resume = a.Resume
		if errorx.IsOfType(err, protocol.ErrQuarantined) {
			setOutcome(finish, a.Resume, err)
		}
		return
	}
	defer release()
	s.metrics.admitted.WithLabelValues(string(protocol.ClassBatch)).Inc()
	s.ring.Add(a.Trace, "item started", "job", finish.Job, "target", a.Target, "lease", a.Attempt)
	stop := s.renew(itemCtx, r, entry, finish)
	defer stop()
	tokens := append([]string(nil), a.Resume...)
	err = r.generate(itemCtx, a, func(token string) error {
		tokens = append(tokens, token)
		return nil
	})
	setOutcome(finish, tokens, err)
	s.ring.Add(a.Trace, "item ended", "job", finish.Job, "target", a.Target, "lease", a.Attempt)
}

// setOutcome fills in the result, the text so far of an item that yielded, or
// the reason of a failure.
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
	case mayYield(err):
		finish.Resume = tokens
	default:
		finish.Failure = protocol.ProblemOf(err).Detail
	}
}

// renew keeps the item's lease and cancels the item when an entry says that it
// must stop. The returned function ends the renewals.
func (s *Sidecar) renew(ctx context.Context, r *runner, entry string, finish *protocol.FinishArgs) func() {
	ctx, cancel := context.WithCancel(ctx)
	lease := protocol.LeaseRef{Job: finish.Job, Index: finish.Index, Lease: finish.Lease}
	args := &protocol.RenewArgs{Instance: finish.Instance, Leases: []protocol.LeaseRef{lease}}
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
			var reply protocol.RenewReply
			callCtx, done := context.WithTimeout(ctx, renewInterval)
			err := s.entries.call(callCtx, entry, protocol.MethodRenew, args, &reply)
			done()
			if err == nil && len(reply.Stop) > 0 {
				r.cancel(lease.Lease, protocol.ErrCancelled.New("the lease has ended"))
			}
		}
	})
	return func() {
		cancel()
		group.Wait()
	}
}

// finish returns an item until an entry has taken it.
func (s *Sidecar) finish(ctx context.Context, entry string, args *protocol.FinishArgs) {
	for ctx.Err() == nil {
		var reply protocol.FinishReply
		err := s.entries.call(ctx, entry, protocol.MethodFinish, args, &reply)
		if err == nil {
			err = reply.Problem.Err()
		}
		if err == nil {
			return
		}
		klog.V(1).InfoS("item not returned yet", "job", args.Job, "index", args.Index, "error", err)
		pause(ctx, appendRetryDelay)
	}
}

// mayYield reports whether the item goes back without a failure: what crashes
// targets is judged by the quarantine.
func mayYield(err error) bool {
	for _, kind := range []*errorx.Type{
		errPreempted, protocol.ErrBusy, protocol.ErrLeaving, protocol.ErrTargetCrashed, protocol.ErrCrashUnstored,
	} {
		if errorx.IsOfType(err, kind) {
			return true
		}
	}
	return false
}
