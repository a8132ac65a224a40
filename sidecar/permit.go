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
	// ownerTries is how often the owner is asked over connections that break.
	ownerTries = 3
	// permitPause is the time between two questions.
	permitPause = 20 * time.Millisecond
)

// permit is the leave to run one copy of a call.
type permit struct {
	sidecar     *Sidecar
	runner      *runner
	attempt     string
	fingerprint string
	// asked are the addresses of the entries that may hold the permit as granted.
	asked     []string
	granted   bool
	alone     bool
	completed bool
	// contested is set once an entry has asked for the permit.
	contested bool
}

// enter waits until the call may run on the target: for a slot, for the permit of
// its fingerprint and for the company it must not have. release gives all back.
// It fails with ErrLeaving, ErrBusy or ErrQuarantined, and then nothing was
// sent to the target.
func (s *Sidecar) enter(ctx context.Context, r *runner, a *protocol.AttemptRequest) (context.Context, func(), error) {
	p, err := s.awaitPermit(ctx, r, a)
	if err != nil {
		return nil, nil, err
	}
	admitted, release, err := r.admit(ctx, a)
	if err != nil {
		p.end()
		return nil, nil, err
	}
	return s.enterLane(admitted, p, release)
}

// enterItem does the same for a batch item that holds its slot, so that the items
// waiting here never exceed the spare slots. The item must start by startBy.
func (s *Sidecar) enterItem(ctx context.Context, r *runner, i *batchItem, startBy time.Time, release func()) (func(), error) {
	waitCtx, cancel := context.WithDeadline(ctx, startBy)
	defer cancel()
	p, err := s.askPermit(waitCtx, r, i.attempt, batchPermitWait)
	if err != nil {
		release()
		if errorx.IsOfType(err, protocol.ErrQuarantined) {
			setOutcome(i.finish, i.attempt.Resume, err)
		}
		return nil, err
	}
	_, leave, err := s.enterLane(waitCtx, p, release)
	return leave, err
}

func (s *Sidecar) enterLane(ctx context.Context, p *permit, release func()) (context.Context, func(), error) {
	if p.alone {
		p.runner.preemptBatch(p)
	}
	leave, err := p.runner.lane.enter(ctx, p.attempt, p.alone)
	if err == nil {
		if err = p.runner.crashes.learn(ctx); err != nil {
			leave()
		}
	}
	if err != nil {
		release()
		p.end()
		return nil, nil, err
	}
	return ctx, func() {
		leave()
		release()
		p.end()
	}, nil
}

// awaitPermit asks again until the permit is granted or the time is up.
func (s *Sidecar) awaitPermit(ctx context.Context, r *runner, a *protocol.AttemptRequest) (*permit, error) {
	p := s.newPermit(r, a)
	for {
		err := p.ask(ctx, a, permitWait)
		if err == nil {
			return p, nil
		}
		if ctx.Err() != nil || !errorx.IsOfType(err, protocol.ErrBusy) {
			p.giveUp()
			return nil, err
		}
		pause.For(ctx, permitPause)
	}
}

// askPermit asks once.
func (s *Sidecar) askPermit(ctx context.Context, r *runner, a *protocol.AttemptRequest, wait time.Duration) (*permit, error) {
	p := s.newPermit(r, a)
	if err := p.ask(ctx, a, wait); err != nil {
		p.giveUp()
		return nil, err
	}
	return p, nil
}

func (s *Sidecar) newPermit(r *runner, a *protocol.AttemptRequest) *permit {
	return &permit{sidecar: s, runner: r, attempt: a.Attempt, fingerprint: a.Call.Fingerprint()}
}

// ask asks the owner of the fingerprint, or any entry where that one fails. An
// entry whose answer was lost may have granted the permit too.
func (p *permit) ask(ctx context.Context, a *protocol.AttemptRequest, wait time.Duration) error {
	s := p.sidecar
	args := &protocol.PermitArgs{
		Instance: s.settings.Process.Instance, Attempt: p.attempt, Key: a.Key, Fingerprint: p.fingerprint, WaitMillis: wait.Milliseconds(),
	}
	var reply protocol.PermitReply
	owner := cmp.Or(s.entries.owner(p.fingerprint), a.Coordinator)
	// An entry may ask for the holder before its grant arrives here.
	p.runner.hold(p)
	tried, err := s.entries.callOwner(ctx, owner, args, &reply)
	if err != nil {
		p.mayHold(tried)
		return protocol.ErrNotSent.Wrap(err, "no entry answers for the call")
	}
	granted := reply.Problem == nil && reply.Granted
	if granted && ctx.Err() != nil {
		p.mayHold(tried)
		return protocol.ErrBusy.Wrap(ctx.Err(), "the permit came too late")
	}
	if !granted {
		tried = tried[:len(tried)-1]
	}
	p.mayHold(tried)
	if err := reply.Problem.Err(); err != nil {
		return err
	}
	if !granted {
		return protocol.ErrBusy.New("another copy of the call is running")
	}
	p.alone, p.granted = reply.Alone, true
	return nil
}

// mayHold notes the newest addresses last, each once.
func (p *permit) mayHold(addresses []string) {
	p.asked = slices.DeleteFunc(p.asked, func(addr string) bool { return slices.Contains(addresses, addr) })
	p.asked = append(p.asked, addresses...)
}

// giveUp gives back what an entry may have granted although no answer came.
func (p *permit) giveUp() {
	if len(p.asked) > 0 {
		p.end()
		return
	}
	p.runner.drop(p)
}

// callOwner asks the owner, and the other entries only where it does not answer.
// Another entry knows nothing of the copies that run, so that neither a connection
// that other calls broke nor the end of ctx may lead there. A question ends with
// its own wait, soon after that of its caller.
func (e *entries) callOwner(ctx context.Context, owner string, args *protocol.PermitArgs, reply *protocol.PermitReply) ([]string, error) {
	wait := time.Duration(args.WaitMillis) * time.Millisecond
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), wait+protocol.HeartbeatTimeout)
	defer cancel()
	var err error
	for range ownerTries {
		var own protocol.PermitReply
		if err = e.peers.Call(callCtx, owner, protocol.MethodPermit, args, &own); err == nil {
			err = logTrouble(&own)
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

// owner returns the peer address of the entry that owns a fingerprint's permit.
func (e *entries) owner(fingerprint string) string {
	live := e.members.Entries()
	byName := make(map[string]string, len(live))
	names := make([]string, 0, len(live))
	for _, i := range live {
		byName[i.Name] = i.Peer
		names = append(names, i.Name)
	}
	return byName[routing.Owner(fingerprint, names)]
}

// end gives the permit back. The entry is not told of a permit that no one asked
// for meanwhile: it asks here before it lets another copy run. After a crash it first waits until the crash is
// durable, so that no other copy runs before that is known.
func (p *permit) end() {
	in := p.runner.crashes.incidentOf(p.attempt)
	if in == nil && p.runner.endQuietly(p) {
		return
	}
	p.sidecar.goOn(func(ctx context.Context) {
		defer p.runner.drop(p)
		args := &protocol.EndPermitArgs{Attempt: p.attempt, Fingerprint: p.fingerprint, Completed: p.completed}
		if in != nil {
			select {
			case <-in.stored:
				args.Crash = in.at
			case <-ctx.Done():
				return
			}
		}
		p.sidecar.give(ctx, args, p.asked)
	})
}

// give tells every entry that was asked that the permit is free, the newest one
// first, and any entry where none of them is left. The owner may have changed
// since, so that it is not the one that holds the permit.
func (s *Sidecar) give(ctx context.Context, args *protocol.EndPermitArgs, asked []string) {
	told := s.giveAny(ctx, args, asked)
	for _, addr := range asked {
		if addr != told {
			s.giveTo(ctx, args, addr)
		}
	}
}

// giveAny tells one entry, the last one asked if it answers, and returns its
// address.
func (s *Sidecar) giveAny(ctx context.Context, args *protocol.EndPermitArgs, asked []string) string {
	preferred := s.entries.owner(args.Fingerprint)
	if len(asked) > 0 && s.entries.listed(asked[len(asked)-1]) {
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

// giveTo tells one entry for as long as it is listed; its permits end with it.
func (s *Sidecar) giveTo(ctx context.Context, args *protocol.EndPermitArgs, addr string) {
	for ctx.Err() == nil && s.entries.listed(addr) {
		var reply protocol.EndPermitReply
		callCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		err := s.peers.Call(callCtx, addr, protocol.MethodEndPermit, args, &reply)
		cancel()
		if err == nil && reply.Problem == nil {
			return
		}
		pause.For(ctx, appendRetryDelay)
	}
}

// goOn runs f as one of the sidecar's goroutines, unless it is stopping.
func (s *Sidecar) goOn(f func(ctx context.Context)) {
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
		at, err := s.appendTo(ctx, protocol.StreamWork, rec)
		if err == nil {
			return at, nil
		}
		if ctx.Err() != nil {
			return 0, err
		}
		pause.For(ctx, appendRetryDelay)
	}
}

// hold and drop keep the permits asked for or in use by attempt.
func (r *runner) hold(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.permits[p.attempt] = p
}

func (r *runner) drop(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.permits, p.attempt)
}

// maxCompleted bounds the attempts remembered as run to their end.
const maxCompleted = 1 << 14

// endQuietly drops the permit of a call that one entry granted and nobody else
// wants. It reports whether that was so.
func (r *runner) endQuietly(p *permit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.permits[p.attempt] != p || !p.granted || p.alone || p.contested || len(p.asked) > 1 {
		return false
	}
	delete(r.permits, p.attempt)
	if p.completed {
		r.completed.Add(p.attempt)
	}
	return true
}

// sent and ended frame the time in which the target has the attempt.
func (r *runner) sent(a *protocol.AttemptRequest) {
	r.crashes.sent(a.Attempt, a.Call.Fingerprint())
}

func (r *runner) ended(ctx context.Context, a *protocol.AttemptRequest, err error) error {
	if err == nil || errorx.IsOfType(err, protocol.ErrBadRequest) {
		r.mu.Lock()
		if p := r.permits[a.Attempt]; p != nil {
			p.completed = true
		}
		r.mu.Unlock()
	}
	return r.crashes.ended(ctx, a.Attempt, err)
}

// preemptBatch stops the batch work that keeps a suspect from running alone. What
// has not been sent to the target waits behind the suspect, and a suspect that
// is a batch item itself waits for those before it.
func (r *runner) preemptBatch(p *permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	yields := r.classes[p.attempt] == protocol.ClassBatch
	for id, class := range r.classes {
		other := r.permits[id]
		if id == p.attempt || class != protocol.ClassBatch || r.cancels[id] == nil || !r.crashes.inFlight(id) {
			continue
		}
		if yields && other != nil && other.alone {
			continue
		}
		r.cancels[id](errPreempted.New("a suspect must run alone"))
	}
}
