package sidecar

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// permitWait is how long an entry may hold one request for a permit.
	permitWait = time.Second
	// batchPermitWait is the same for a batch item. It is shorter because the item holds a
	// slot while it waits.
	batchPermitWait = 200 * time.Millisecond
	// maxOwnerCalls bounds the calls to the owner of a permit while connections break.
	maxOwnerCalls = 3
	// permitRetryDelay is the time between two requests for a permit.
	permitRetryDelay = 20 * time.Millisecond
)

// permit allows one copy of a call to run. The entry that owns the fingerprint of the
// call grants it.
type permit struct {
	sidecar     *Sidecar
	runner      *runner
	attempt     string
	fingerprint string
	// possibleGranters holds the addresses of the entries that may have granted the
	// permit, the newest last.
	possibleGranters []string
	granted          bool
	alone            bool
	completed        bool
	// queried is true once an entry has asked whether the permit is still held.
	queried bool
}

// admitAttempt waits until the call may run on the target: for the permit of its
// fingerprint, for a slot, and for admission by the target's gate. The returned function
// releases all three. If it fails, with ErrLeaving, ErrBusy or ErrQuarantined among
// others, nothing was sent to the target.
func (s *Sidecar) admitAttempt(ctx context.Context, r *runner, a *protocol.AttemptRequest) (context.Context, func(), error) {
	p, err := s.awaitPermit(ctx, r, a)
	if err != nil {
		return nil, nil, err
	}
	admitted, release, err := r.admit(ctx, a)
	if err != nil {
		p.release()
		return nil, nil, err
	}
	return s.admitPermitted(admitted, p, release)
}

// admitItem does the same for a batch item that already holds a slot, which release
// frees. Items get their slots first so that no more of them wait here than there are
// spare slots. The item must start by startBy.
func (s *Sidecar) admitItem(ctx context.Context, r *runner, i *batchItem, startBy time.Time, release func()) (func(), error) {
	waitCtx, cancel := context.WithDeadline(ctx, startBy)
	defer cancel()
	p, err := s.requestPermit(waitCtx, r, i.attempt, batchPermitWait)
	if err != nil {
		release()
		if errorx.IsOfType(err, protocol.ErrQuarantined) {
			setOutcome(i.finish, i.attempt.Resume, err)
		}
		return nil, err
	}
	_, releaseAll, err := s.admitPermitted(waitCtx, p, release)
	return releaseAll, err
}

// admitPermitted waits for admission by the target's gate for an attempt that has its
// permit and its slot. If it fails, it releases both.
func (s *Sidecar) admitPermitted(ctx context.Context, p *permit, release func()) (context.Context, func(), error) {
	if p.alone {
		p.runner.preemptBatchFor(p)
	}
	leaveGate, err := p.runner.gate.acquire(ctx, p.attempt, p.alone)
	if err == nil {
		if err = p.runner.crashDetector.awaitBootID(ctx); err != nil {
			leaveGate()
		}
	}
	if err != nil {
		release()
		p.release()
		return nil, nil, err
	}
	return ctx, func() {
		leaveGate()
		release()
		p.release()
	}, nil
}

// awaitPermit requests a permit, and retries until it is granted or ctx ends.
func (s *Sidecar) awaitPermit(ctx context.Context, r *runner, a *protocol.AttemptRequest) (*permit, error) {
	p := s.newPermit(r, a)
	for {
		err := p.request(ctx, a, permitWait)
		if err == nil {
			return p, nil
		}
		if ctx.Err() != nil || !errorx.IsOfType(err, protocol.ErrBusy) {
			p.abandon()
			return nil, err
		}
		pause.For(ctx, permitRetryDelay)
	}
}

// requestPermit requests a permit once.
func (s *Sidecar) requestPermit(ctx context.Context, r *runner, a *protocol.AttemptRequest, wait time.Duration) (*permit, error) {
	p := s.newPermit(r, a)
	if err := p.request(ctx, a, wait); err != nil {
		p.abandon()
		return nil, err
	}
	return p, nil
}

func (s *Sidecar) newPermit(r *runner, a *protocol.AttemptRequest) *permit {
	return &permit{sidecar: s, runner: r, attempt: a.Attempt, fingerprint: a.Call.Fingerprint()}
}

// request requests the permit from the owner of the fingerprint, or from any other entry
// if the owner fails. An entry whose reply was lost may have granted the permit too.
func (p *permit) request(ctx context.Context, a *protocol.AttemptRequest, wait time.Duration) error {
	s := p.sidecar
	args := &protocol.PermitArgs{
		Instance: s.settings.Process.Instance, Attempt: p.attempt, Key: a.Key, Fingerprint: p.fingerprint, WaitMillis: wait.Milliseconds(),
	}
	var reply protocol.PermitReply
	owner := cmp.Or(s.entries.permitOwner(p.fingerprint), a.Coordinator)
	// The entry may ask whether the permit is held before its grant arrives here.
	p.runner.addPermit(p)
	tried, err := s.entries.callOwner(ctx, owner, args, &reply)
	if err != nil {
		p.addPossibleGranters(tried)
		return protocol.ErrNotSent.Wrap(err, "no entry answered the request for a permit")
	}
	granted := reply.Problem == nil && reply.Granted
	if granted && ctx.Err() != nil {
		p.addPossibleGranters(tried)
		return protocol.ErrBusy.Wrap(ctx.Err(), "the permit was granted after the attempt had ended")
	}
	if !granted {
		tried = tried[:len(tried)-1]
	}
	p.addPossibleGranters(tried)
	if err := reply.Problem.Err(); err != nil {
		return err
	}
	if !granted {
		return protocol.ErrBusy.New("another copy of the call is running")
	}
	p.alone, p.granted = reply.Alone, true
	return nil
}

// addPossibleGranters appends addresses, and removes earlier occurrences of them.
func (p *permit) addPossibleGranters(addresses []string) {
	p.possibleGranters = slices.DeleteFunc(p.possibleGranters, func(addr string) bool { return slices.Contains(addresses, addr) })
	p.possibleGranters = append(p.possibleGranters, addresses...)
}

// abandon drops a permit that was not granted here, and releases it at the entries that
// may have granted it although their replies were lost.
func (p *permit) abandon() {
	if len(p.possibleGranters) > 0 {
		p.release()
		return
	}
	p.runner.removePermit(p)
}

// callOwner requests a permit from the owner, and from the other entries only if the
// owner does not answer. Another entry does not know which copies run, so neither a
// connection that other calls broke nor the end of ctx may cause a request to it. For
// the same reason a call does not end with ctx but with its own wait, which is soon
// after. It returns the addresses that it called.
func (e *entryClient) callOwner(ctx context.Context, owner string, args *protocol.PermitArgs, reply *protocol.PermitReply) ([]string, error) {
	wait := time.Duration(args.WaitMillis) * time.Millisecond
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+protocol.HeartbeatTimeout)
	defer cancel()
	var err error
	for range maxOwnerCalls {
		var callReply protocol.PermitReply
		if err = e.peers.Call(callCtx, owner, protocol.MethodPermit, args, &callReply); err == nil {
			err = logError(&callReply)
		}
		if err == nil {
			*reply = callReply
			return []string{owner}, nil
		}
		if !errorx.IsOfType(err, protocol.ErrTargetFailed) {
			break
		}
	}
	if ctx.Err() != nil {
		return []string{owner}, err
	}
	tried, err := e.callAny(ctx, "", protocol.MethodPermit, args, reply)
	return append([]string{owner}, tried...), err
}

// permitOwner returns the peer address of the entry that owns a fingerprint's permit,
// empty if no entry is live.
func (e *entryClient) permitOwner(fingerprint string) string {
	live := e.members.Entries()
	byName := make(map[string]string, len(live))
	names := make([]string, 0, len(live))
	for _, i := range live {
		byName[i.Name] = i.Peer
		names = append(names, i.Name)
	}
	return byName[routing.Owner(fingerprint, names)]
}

// release releases the permit. An entry that never asked whether the permit is held is
// not told: it asks here before it lets another copy run. After a crash, release first
// waits until the crash record is durable, so that no other copy runs before the crash is
// known.
func (p *permit) release() {
	in := p.runner.crashDetector.takeIncident(p.attempt)
	if in == nil && p.runner.releaseLocally(p) {
		return
	}
	p.sidecar.goTracked(func(ctx context.Context) {
		defer p.runner.removePermit(p)
		args := &protocol.EndPermitArgs{Attempt: p.attempt, Fingerprint: p.fingerprint, Completed: p.completed}
		if in != nil {
			select {
			case <-in.stored:
				args.Crash = in.at
			case <-ctx.Done():
				return
			}
		}
		p.sidecar.releasePermit(ctx, args, p.possibleGranters)
	})
}

// releasePermit releases the permit at every entry that may have granted it, the newest
// first, or at any entry if none of them is left. The present owner may not be the one
// that granted the permit, because the owner may have changed since.
func (s *Sidecar) releasePermit(ctx context.Context, args *protocol.EndPermitArgs, granters []string) {
	released := s.releaseAtAny(ctx, args, granters)
	for _, addr := range granters {
		if addr != released {
			s.releaseAt(ctx, args, addr)
		}
	}
}

// releaseAtAny releases the permit at one entry, the newest possible granter if it
// answers, and returns its address. It retries until ctx ends, and then returns "".
func (s *Sidecar) releaseAtAny(ctx context.Context, args *protocol.EndPermitArgs, granters []string) string {
	preferred := s.entries.permitOwner(args.Fingerprint)
	if len(granters) > 0 && s.entries.isListed(granters[len(granters)-1]) {
		preferred = granters[len(granters)-1]
	}
	for ctx.Err() == nil {
		var reply protocol.EndPermitReply
		tried, err := s.entries.callAny(ctx, preferred, protocol.MethodEndPermit, args, &reply)
		if err == nil && reply.Problem == nil {
			return tried[len(tried)-1]
		}
		pause.For(ctx, appendRetryDelay)
	}
	return ""
}

// releaseAt releases the permit at one entry, and retries while the entry is listed. An
// entry that is no longer listed has ended, and its permits with it.
func (s *Sidecar) releaseAt(ctx context.Context, args *protocol.EndPermitArgs, addr string) {
	for ctx.Err() == nil && s.entries.isListed(addr) {
		var reply protocol.EndPermitReply
		callCtx, cancel := context.WithTimeout(ctx, entryCallTimeout)
		err := s.peers.Call(callCtx, addr, protocol.MethodEndPermit, args, &reply)
		cancel()
		if err == nil && reply.Problem == nil {
			return
		}
		pause.For(ctx, appendRetryDelay)
	}
}

// goTracked runs f in a goroutine that the sidecar waits for when it stops. It does
// nothing if the sidecar is stopping already.
func (s *Sidecar) goTracked(f func(ctx context.Context)) {
	if !s.tomb.Alive() {
		return
	}
	s.tomb.Go(func() error {
		f(s.tomb.Context(context.Background()))
		return nil
	})
}

// storeCrash appends a crash record, and retries until an entry has stored it or the
// sidecar stops.
func (s *Sidecar) storeCrash(ctx context.Context, rec protocol.Record) (protocol.Position, error) {
	ctx = s.tomb.Context(ctx)
	for {
		at, err := s.appendRecord(ctx, protocol.StreamWork, rec)
		if err == nil {
			return at, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
		pause.For(ctx, appendRetryDelay)
	}
}

// addPermit records a permit that is requested or in use, until removePermit is called.
func (r *runner) addPermit(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits[p.attempt] = p
}

func (r *runner) removePermit(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.permits, p.attempt)
}

// maxCompletedAttempts bounds the number of attempts recorded as completed.
const maxCompletedAttempts = 1 << 14

// releaseLocally releases a permit without telling its entry. It does so, and reports
// true, only if one entry at most may have granted the permit and no entry has asked
// whether it is held.
func (r *runner) releaseLocally(p *permit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.permits[p.attempt] != p || !p.granted || p.alone || p.queried || len(p.possibleGranters) > 1 {
		return false
	}
	delete(r.permits, p.attempt)
	if p.completed {
		r.completed.Add(p.attempt)
	}
	return true
}

// attemptSent and attemptEnded mark the time in which the attempt is in flight.
func (r *runner) attemptSent(a *protocol.AttemptRequest) {
	r.crashDetector.addInFlight(a.Attempt, a.Call.Fingerprint())
}

func (r *runner) attemptEnded(ctx context.Context, a *protocol.AttemptRequest, err error) error {
	if err == nil || errorx.IsOfType(err, protocol.ErrBadRequest) {
		r.mu.Lock()
		if p := r.permits[a.Attempt]; p != nil {
			p.completed = true
		}
		r.mu.Unlock()
	}
	return r.crashDetector.finishAttempt(ctx, a.Attempt, err)
}

// preemptBatchFor preempts the batch items in flight that keep a suspect from running
// alone. Items that have not been sent to the target wait behind the suspect. A suspect
// that is a batch item itself does not preempt the suspects before it.
func (r *runner) preemptBatchFor(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isBatch := r.classes[p.attempt] == protocol.ClassBatch
	for id, class := range r.classes {
		other := r.permits[id]
		if id == p.attempt || class != protocol.ClassBatch || r.cancels[id] == nil || !r.crashDetector.isInFlight(id) {
			continue
		}
		if isBatch && other != nil && other.alone {
			continue
		}
		r.cancels[id](errPreempted.New("a suspect must run alone"))
	}
}
