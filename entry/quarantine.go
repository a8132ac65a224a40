package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/transport"
)

const (
	// permitPollInterval is how often a waiting question for a permit looks again.
	permitPollInterval = 10 * time.Millisecond
	// holderCheckInterval is the time between two questions to the holder of a contested
	// permit.
	holderCheckInterval = 100 * time.Millisecond
	// elapsedInterval is the time between two records that let suspicion expire.
	elapsedInterval = 10 * time.Second
	// elapsedOwnerKey picks the entry that appends them.
	elapsedOwnerKey = "quarantine-time"
)

// permits guards the permits that this entry grants.
type permits struct {
	mu    sync.Mutex
	state *quarantine.Permits
}

// Permit says whether a copy of a call may run now.
func (p *peerAPI) Permit(args *protocol.PermitArgs, reply *protocol.PermitReply) error {
	ctx, cancel := context.WithTimeout(p.e.context(), time.Duration(args.WaitMillis)*time.Millisecond)
	defer cancel()
	var checked time.Time
	for {
		granted, alone, err := p.e.permit(args)
		reply.Granted, reply.Alone, reply.Problem = granted, alone, protocol.ProblemOf(err)
		if granted || err != nil || ctx.Err() != nil {
			return nil
		}
		if time.Since(checked) > holderCheckInterval {
			checked = time.Now()
			p.e.releaseLostPermits(args.Fingerprint)
		}
		pause.For(ctx, permitPollInterval)
	}
}

// permit grants a copy its run where no other copy may be running. The run of a
// suspect is claimed in the log as well.
func (e *Entry) permit(args *protocol.PermitArgs) (granted, alone bool, err error) {
	if !e.workStream.follower.CaughtUp() {
		return false, false, protocol.ErrBusy.New("the log has not been read yet")
	}
	if err := e.checkQuarantine(args.Fingerprint); err != nil {
		return false, false, err
	}
	suspicion := e.quarantine.Lookup(args.Fingerprint)
	suspect := suspicion.Crashes > 0
	if suspect && suspicion.Trial != "" && suspicion.Trial != args.Attempt {
		return false, true, nil
	}
	h := quarantine.Holder{Fingerprint: args.Fingerprint, Attempt: args.Attempt, Instance: args.Instance, Key: args.Key}
	e.permits.mu.Lock()
	granted = e.permits.state.TryAcquire(h, suspect)
	e.permits.mu.Unlock()
	if !granted || !suspect {
		return granted, suspect, nil
	}
	return e.startTrial(h)
}

func (e *Entry) startTrial(h quarantine.Holder) (granted, alone bool, err error) {
	ctx, cancel := context.WithTimeout(e.context(), recordTimeout)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Trial: &protocol.SuspectTrial{Fingerprint: h.Fingerprint, Attempt: h.Attempt}}
	err = e.appendAndFold(ctx, rec)
	e.permits.mu.Lock()
	held := slices.Contains(e.permits.state.Holders(h.Fingerprint), h)
	e.permits.mu.Unlock()
	suspicion := e.quarantine.Lookup(h.Fingerprint)
	if err == nil && held && suspicion.Trial == h.Attempt {
		return true, true, nil
	}
	e.endPermit(&protocol.EndPermitArgs{Attempt: h.Attempt, Fingerprint: h.Fingerprint})
	if err != nil {
		return false, true, protocol.ErrLogUnavailable.Wrap(err, "a suspect runs only after the log has its trial")
	}
	return false, true, nil
}

// EndPermit takes a permit back.
func (p *peerAPI) EndPermit(args *protocol.EndPermitArgs, reply *protocol.EndPermitReply) error {
	reply.Problem = protocol.ProblemOf(p.e.endPermit(args))
	return nil
}

// endPermit ends the trial of a suspect in the log, and then frees the call's
// permit. Where a crash ended the run, it is folded here first.
func (e *Entry) endPermit(args *protocol.EndPermitArgs) error {
	ctx, cancel := context.WithTimeout(e.context(), recordTimeout)
	defer cancel()
	if args.Crash != 0 {
		if err := e.workStream.follower.WaitFor(ctx, args.Crash.Offset()); err != nil {
			return err
		}
	}
	if e.quarantine.Lookup(args.Fingerprint).Trial == args.Attempt {
		rec := protocol.Record{ID: args.Attempt + "/trial-end", TrialOf: &protocol.TrialEnd{
			Fingerprint: args.Fingerprint, Attempt: args.Attempt, Completed: args.Completed,
		}}
		if err := e.appendAndFold(ctx, rec); err != nil {
			return err
		}
		klog.InfoS("suspect's trial ended", "attempt", args.Attempt, "completed", args.Completed)
	}
	e.permits.mu.Lock()
	defer e.permits.mu.Unlock()
	e.permits.state.Release(args.Fingerprint, args.Attempt, args.Completed)
	return nil
}

// releaseLostPermits frees contested permits whose sidecar has gone or has lost them.
func (e *Entry) releaseLostPermits(fingerprint string) {
	e.permits.mu.Lock()
	holders := e.permits.state.Holders(fingerprint)
	e.permits.mu.Unlock()
	for _, h := range holders {
		reply := e.queryHolder(h)
		if reply.Held || e.context().Err() != nil {
			continue
		}
		klog.V(1).InfoS("permit freed, its sidecar does not hold it", "instance", h.Instance, "attempt", h.Attempt, "completed", reply.Completed)
		_ = e.endPermit(&protocol.EndPermitArgs{Attempt: h.Attempt, Fingerprint: fingerprint, Completed: reply.Completed})
	}
}

// queryHolder asks the holder's sidecar, again where another call broke the
// connection. A sidecar that is gone or silent holds nothing.
func (e *Entry) queryHolder(h quarantine.Holder) protocol.HoldsReply {
	ctx, cancel := context.WithTimeout(e.context(), protocol.HeartbeatTimeout)
	defer cancel()
	addr := e.peerAddress(h.Instance)
	for addr != "" {
		var reply protocol.HoldsReply
		err := e.peers.Call(ctx, addr, protocol.MethodHolds, &protocol.HoldsArgs{Attempt: h.Attempt}, &reply)
		if err == nil {
			return reply
		}
		if !errorx.IsOfType(err, protocol.ErrTargetFailed) || ctx.Err() != nil {
			break
		}
	}
	return protocol.HoldsReply{}
}

// peerAddress returns the peer address of a listed instance, empty for another.
func (e *Entry) peerAddress(instance string) string {
	for _, i := range e.members.Instances() {
		if i.Name == instance {
			return i.Peer
		}
	}
	return ""
}

// checkQuarantine fails with ErrQuarantined for a convicted call.
func (e *Entry) checkQuarantine(fingerprint string) error {
	if e.quarantine.Lookup(fingerprint).Quarantined {
		return protocol.ErrQuarantined.New("the request crashed the targets that ran it and is refused for a time")
	}
	return nil
}

// isFinalFailure reports whether err is final, so that the request has a failed
// result.
func isFinalFailure(err error) bool {
	return errorx.IsOfType(err, protocol.ErrBadRequest) || errorx.IsOfType(err, protocol.ErrQuarantined)
}

// finalFailureResult is the failed result of a request; a refusal by the quarantine is
// a problem document.
func finalFailureResult(err error) *protocol.Result {
	result := failedResult(err)
	if errorx.IsOfType(err, protocol.ErrQuarantined) {
		result.ContentType = transport.ProblemContentType
		result.Body, _ = json.Marshal(protocol.ProblemOf(err))
	}
	return result
}

// appendElapsed appends the records by which suspicion expires, while there is any.
// The time counts from when this entry folded the record that it names.
func (e *Entry) appendElapsed(ctx context.Context) error {
	ticker := time.NewTicker(elapsedInterval)
	defer ticker.Stop()
	since, begun := e.quarantine.TimeAt(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if at := e.quarantine.TimeAt(); at != since {
			since, begun = at, time.Now()
			continue
		}
		suspects, convicted := e.quarantine.Counts()
		if suspects+convicted == 0 || !e.ownsKey(elapsedOwnerKey) {
			continue
		}
		rec := protocol.Record{ID: protocol.NewID(), Elapsed: &protocol.Elapsed{Since: since, Millis: time.Since(begun).Milliseconds()}}
		appendCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		if err := e.appendAndFold(appendCtx, rec); err != nil {
			klog.V(1).InfoS("time record not stored", "error", protocol.CauseOf(err))
		}
		cancel()
	}
}
