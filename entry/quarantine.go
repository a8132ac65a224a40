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
	// permitPollInterval is how often a waiting Permit call tries again.
	permitPollInterval = 10 * time.Millisecond
	// holderCheckInterval is the time between two checks of the sidecar that holds a
	// contested permit.
	holderCheckInterval = 100 * time.Millisecond
	// elapsedInterval is the time between two Elapsed records, by which
	// suspicion expires.
	elapsedInterval = 10 * time.Second
	// elapsedOwnerKey is the key whose owner appends the Elapsed records.
	elapsedOwnerKey = "quarantine-time"
)

// permits holds the permits that this entry has granted, guarded by mu.
type permits struct {
	mu    sync.Mutex
	state *quarantine.Permits
}

// Permit grants or denies one copy of a call the permission to run now.
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

// permit grants a copy permission to run if no other copy may be running. If the
// call is suspected of crashing targets, the run is also recorded in the log as
// a trial.
func (e *Entry) permit(args *protocol.PermitArgs) (granted, alone bool, err error) {
	if !e.workStream.follower.CaughtUp() {
		return false, false, protocol.ErrBusy.New("this entry has not caught up with the log yet")
	}
	if err := e.checkQuarantine(args.Fingerprint); err != nil {
		return false, false, err
	}
	suspicion := e.quarantine.Lookup(args.Fingerprint)
	suspect := suspicion.Crashes > 0
	if suspect && suspicion.Trial != "" && suspicion.Trial != args.Attempt {
		return false, true, nil
	}
	holder := quarantine.Holder{Fingerprint: args.Fingerprint, Attempt: args.Attempt, Instance: args.Instance, Key: args.Key}
	e.permits.mu.Lock()
	granted = e.permits.state.TryAcquire(holder, suspect)
	e.permits.mu.Unlock()
	if !granted || !suspect {
		return granted, suspect, nil
	}
	return e.startTrial(holder)
}

func (e *Entry) startTrial(holder quarantine.Holder) (granted, alone bool, err error) {
	ctx, cancel := context.WithTimeout(e.context(), recordTimeout)
	defer cancel()
	rec := protocol.Record{ID: protocol.NewID(), Trial: &protocol.SuspectTrial{Fingerprint: holder.Fingerprint, Attempt: holder.Attempt}}
	err = e.appendAndFold(ctx, rec)
	e.permits.mu.Lock()
	held := slices.Contains(e.permits.state.Holders(holder.Fingerprint), holder)
	e.permits.mu.Unlock()
	suspicion := e.quarantine.Lookup(holder.Fingerprint)
	if err == nil && held && suspicion.Trial == holder.Attempt {
		return true, true, nil
	}
	e.endPermit(&protocol.EndPermitArgs{Attempt: holder.Attempt, Fingerprint: holder.Fingerprint})
	if err != nil {
		return false, true, protocol.ErrLogUnavailable.Wrap(err, "the trial of the suspected call was not recorded in the log")
	}
	return false, true, nil
}

// EndPermit releases a permit.
func (p *peerAPI) EndPermit(args *protocol.EndPermitArgs, reply *protocol.EndPermitReply) error {
	reply.Problem = protocol.ProblemOf(p.e.endPermit(args))
	return nil
}

// endPermit records the end of a suspect's trial in the log and then releases
// the call's permit. If the run ended in a crash, it waits until the crash
// record is folded here.
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
		klog.InfoS("trial of suspected call ended", "attempt", args.Attempt, "completed", args.Completed)
	}
	e.permits.mu.Lock()
	defer e.permits.mu.Unlock()
	e.permits.state.Release(args.Fingerprint, args.Attempt, args.Completed)
	return nil
}

// releaseLostPermits releases contested permits whose sidecar is gone or no
// longer holds them.
func (e *Entry) releaseLostPermits(fingerprint string) {
	e.permits.mu.Lock()
	holders := e.permits.state.Holders(fingerprint)
	e.permits.mu.Unlock()
	for _, holder := range holders {
		reply := e.queryHolder(holder)
		if reply.Held || e.context().Err() != nil {
			continue
		}
		klog.V(1).InfoS("permit released, its sidecar does not hold it", "instance", holder.Instance, "attempt", holder.Attempt, "completed", reply.Completed)
		_ = e.endPermit(&protocol.EndPermitArgs{Attempt: holder.Attempt, Fingerprint: fingerprint, Completed: reply.Completed})
	}
}

// queryHolder asks the holder's sidecar whether it still holds the permit, and
// asks again if the connection failed because of another call. A sidecar that is
// gone or unresponsive counts as not holding it.
func (e *Entry) queryHolder(holder quarantine.Holder) protocol.HoldsReply {
	ctx, cancel := context.WithTimeout(e.context(), protocol.HeartbeatTimeout)
	defer cancel()
	addr := e.peerAddress(holder.Instance)
	for addr != "" {
		var reply protocol.HoldsReply
		err := e.peers.Call(ctx, addr, protocol.MethodHolds, &protocol.HoldsArgs{Attempt: holder.Attempt}, &reply)
		if err == nil {
			return reply
		}
		if !errorx.IsOfType(err, protocol.ErrTargetFailed) || ctx.Err() != nil {
			break
		}
	}
	return protocol.HoldsReply{}
}

// peerAddress returns the peer address of a listed instance, or an empty string
// for any other.
func (e *Entry) peerAddress(instance string) string {
	for _, i := range e.members.Instances() {
		if i.Name == instance {
			return i.Peer
		}
	}
	return ""
}

// checkQuarantine fails with ErrQuarantined if the call is in quarantine.
func (e *Entry) checkQuarantine(fingerprint string) error {
	if e.quarantine.Lookup(fingerprint).Quarantined {
		return protocol.ErrQuarantined.New("the request crashed the targets that ran it and is refused for a time")
	}
	return nil
}

// isFinalFailure reports whether err is final, so that it is stored as the
// failed result of the request.
func isFinalFailure(err error) bool {
	return errorx.IsOfType(err, protocol.ErrBadRequest) || errorx.IsOfType(err, protocol.ErrQuarantined)
}

// finalFailureResult returns the failed result for a final error. For a
// quarantined request the body is a problem document.
func finalFailureResult(err error) *protocol.Result {
	result := failedResult(err)
	if errorx.IsOfType(err, protocol.ErrQuarantined) {
		result.ContentType = transport.ProblemContentType
		result.Body, _ = json.Marshal(protocol.ProblemOf(err))
	}
	return result
}

// appendElapsed appends the Elapsed records by which suspicion expires, while
// there are suspects or quarantined calls. The elapsed time counts from the
// moment this entry folded the record named in Since.
func (e *Entry) appendElapsed(ctx context.Context) error {
	ticker := time.NewTicker(elapsedInterval)
	defer ticker.Stop()
	since, start := e.quarantine.TimeAt(), time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		if at := e.quarantine.TimeAt(); at != since {
			since, start = at, time.Now()
			continue
		}
		suspects, quarantined := e.quarantine.Counts()
		if suspects+quarantined == 0 || !e.ownsKey(elapsedOwnerKey) {
			continue
		}
		rec := protocol.Record{ID: protocol.NewID(), Elapsed: &protocol.Elapsed{Since: since, Millis: time.Since(start).Milliseconds()}}
		appendCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		if err := e.appendAndFold(appendCtx, rec); err != nil {
			klog.V(1).InfoS("elapsed time not recorded", "error", protocol.CauseOf(err))
		}
		cancel()
	}
}
