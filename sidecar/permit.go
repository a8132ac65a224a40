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
	// permitWait is how long an entry may hold one question for a permit.
	permitWait = time.Second
	// batchPermitWait is the same for a batch item, which holds a slot meanwhile.
	batchPermitWait = 200 * time.Millisecond
	// maxOwnerCalls is how often the owner is asked over connections that break.
	maxOwnerCalls = 3
	// permitRetryDelay is the time between two questions.
	permitRetryDelay = 20 * time.Millisecond
)

// permit is the leave to run one copy of a call.
type permit struct {
	sidecar     *Sidecar
	runner      *runner
	attempt     string
	fingerprint string
	// possibleGranters are the addresses of the entries that may hold the permit as granted.
	possibleGranters []string
	granted          bool
	alone            bool
	completed        bool
	// queried is set once an entry has asked for the permit.
	queried bool
}

// admitAttempt waits until the call may run on the target: for a slot, for the permit of
// its fingerprint and for the company it must not have. release gives all back.
// It fails with ErrLeaving, ErrBusy or ErrQuarantined, and then nothing was
// sent to the target.
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

// admitItem does the same for a batch item that holds its slot, so that the items
// waiting here never exceed the spare slots. The item must start by startBy.
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
	_, leave, err := s.admitPermitted(waitCtx, p, release)
	return leave, err
}

func (s *Sidecar) admitPermitted(ctx context.Context, p *permit, release func()) (context.Context, func(), error) {
	if p.alone {
		p.runner.preemptBatchFor(p)
	}
	leave, err := p.runner.gate.acquire(ctx, p.attempt, p.alone)
	if err == nil {
		if err = p.runner.crashDetector.awaitBootID(ctx); err != nil {
			leave()
		}
	}
	if err != nil {
		release()
		p.release()
		return nil, nil, err
	}
	return ctx, func() {
		leave()
		release()
		p.release()
	}, nil
}

// awaitPermit asks again until the permit is granted or the time is up.
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

// requestPermit asks once.
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

// request asks the owner of the fingerprint, or any entry where that one fails. An
// entry whose answer was lost may have granted the permit too.
func (p *permit) request(ctx context.Context, a *protocol.AttemptRequest, wait time.Duration) error {
	s := p.sidecar
	args := &protocol.PermitArgs{
		Instance: s.settings.Process.Instance, Attempt: p.attempt, Key: a.Key, Fingerprint: p.fingerprint, WaitMillis: wait.Milliseconds(),
	}
	var reply protocol.PermitReply
	owner := cmp.Or(s.entries.permitOwner(p.fingerprint), a.Coordinator)
	// An entry may ask for the holder before its grant arrives here.
	p.runner.addPermit(p)
	tried, err := s.entries.callOwner(ctx, owner, args, &reply)
	if err != nil {
		p.addPossibleGranters(tried)
		return protocol.ErrNotSent.Wrap(err, "no entry answers for the call")
	}
	granted := reply.Problem == nil && reply.Granted
	if granted && ctx.Err() != nil {
		p.addPossibleGranters(tried)
		return protocol.ErrBusy.Wrap(ctx.Err(), "the permit came too late")
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

// addPossibleGranters notes the newest addresses last, each once.
func (p *permit) addPossibleGranters(addresses []string) {
	p.possibleGranters = slices.DeleteFunc(p.possibleGranters, func(addr string) bool { return slices.Contains(addresses, addr) })
	p.possibleGranters = append(p.possibleGranters, addresses...)
}

// abandon gives back what an entry may have granted although no answer came.
func (p *permit) abandon() {
	if len(p.possibleGranters) > 0 {
		p.release()
		return
	}
	p.runner.removePermit(p)
}

// callOwner asks the owner, and the other entries only where it does not answer.
// Another entry knows nothing of the copies that run, so that neither a connection
// that other calls broke nor the end of ctx may lead there. A question ends with
// its own wait, soon after that of its caller.
func (e *entryClient) callOwner(ctx context.Context, owner string, args *protocol.PermitArgs, reply *protocol.PermitReply) ([]string, error) {
	wait := time.Duration(args.WaitMillis) * time.Millisecond
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+protocol.HeartbeatTimeout)
	defer cancel()
	var err error
	for range maxOwnerCalls {
		var own protocol.PermitReply
		if err = e.peers.Call(callCtx, owner, protocol.MethodPermit, args, &own); err == nil {
			err = logError(&own)
		}
		if err == nil {
			*reply = own
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

// permitOwner returns the peer address of the entry that owns a fingerprint's permit.
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

// release gives the permit back. The entry is not told of a permit that no one asked
// for meanwhile: it asks here before it lets another copy run. After a crash it first waits until the crash is
// durable, so that no other copy runs before that is known.
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

// releasePermit tells every entry that was asked that the permit is free, the newest one
// first, and any entry where none of them is left. The owner may have changed
// since, so that it is not the one that holds the permit.
func (s *Sidecar) releasePermit(ctx context.Context, args *protocol.EndPermitArgs, asked []string) {
	told := s.releaseAtAny(ctx, args, asked)
	for _, addr := range asked {
		if addr != told {
			s.releaseAt(ctx, args, addr)
		}
	}
}

// releaseAtAny tells one entry, the last one asked if it answers, and returns its
// address.
func (s *Sidecar) releaseAtAny(ctx context.Context, args *protocol.EndPermitArgs, asked []string) string {
	preferred := s.entries.permitOwner(args.Fingerprint)
	if len(asked) > 0 && s.entries.isListed(asked[len(asked)-1]) {
		preferred = asked[len(asked)-1]
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

// releaseAt tells one entry for as long as it is listed; its permits end with it.
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

// goTracked runs f as one of the sidecar's goroutines, unless it is stopping.
func (s *Sidecar) goTracked(f func(ctx context.Context)) {
	if !s.tomb.Alive() {
		return
	}
	s.tomb.Go(func() error {
		f(s.tomb.Context(context.Background()))
		return nil
	})
}

// storeCrash appends a crash record until an entry has taken it.
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

// addPermit and drop keep the permits asked for or in use by attempt.
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

// maxCompletedAttempts bounds the attempts remembered as run to their end.
const maxCompletedAttempts = 1 << 14

// releaseLocally drops the permit of a call that one entry granted and nobody else
// wants. It reports whether that was so.
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

// attemptSent and ended frame the time in which the target has the attempt.
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

// preemptBatchFor stops the batch work that keeps a suspect from running alone. What
// has not been sent to the target waits behind the suspect, and a suspect that
// is a batch item itself waits for those before it.
func (r *runner) preemptBatchFor(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	yields := r.classes[p.attempt] == protocol.ClassBatch
	for id, class := range r.classes {
		other := r.permits[id]
		if id == p.attempt || class != protocol.ClassBatch || r.cancels[id] == nil || !r.crashDetector.isInFlight(id) {
			continue
		}
		if yields && other != nil && other.alone {
			continue
		}
		r.cancels[id](errPreempted.New("a suspect must run alone"))
	}
}
