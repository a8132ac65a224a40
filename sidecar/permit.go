package sidecar

import (
	"cmp"
	"context"
	"time"

	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
)

const (
	// permitWait is how long an entry may hold one question for a permit.
	permitWait = time.Second
	// batchPermitWait is the same for a batch item, which holds a slot meanwhile.
	batchPermitWait = 200 * time.Millisecond
	// permitPause is the time between two questions.
	permitPause = 20 * time.Millisecond
)

// permit is the leave to run one copy of a call.
type permit struct {
	sidecar     *Sidecar
	runner      *runner
	attempt     string
	fingerprint string
	alone       bool
	completed   bool
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
	for {
		p, err := s.askPermit(ctx, r, a, permitWait)
		if err == nil || ctx.Err() != nil || !errorx.IsOfType(err, protocol.ErrBusy) {
			return p, err
		}
		pause(ctx, permitPause)
	}
}

func (s *Sidecar) askPermit(ctx context.Context, r *runner, a *protocol.AttemptRequest, wait time.Duration) (*permit, error) {
	p := &permit{sidecar: s, runner: r, attempt: a.Attempt, fingerprint: a.Call.Fingerprint()}
	args := &protocol.PermitArgs{
		Instance: s.settings.Process.Instance, Attempt: p.attempt, Key: a.Key, Fingerprint: p.fingerprint, WaitMillis: wait.Milliseconds(),
	}
	reply, err := s.callPermit(ctx, args, a.Coordinator)
	if err != nil && ctx.Err() == nil {
		reply, err = s.callPermit(ctx, args, a.Coordinator) // a silent connection is replaced
	}
	if err != nil {
		p.end()
		return nil, protocol.ErrNotSent.Wrap(err, "no entry answers for the call")
	}
	if err := reply.Problem.Err(); err != nil {
		return nil, err
	}
	if !reply.Granted {
		return nil, protocol.ErrBusy.New("another copy of the call is running")
	}
	p.alone = reply.Alone
	r.hold(p)
	return p, nil
}

func (s *Sidecar) callPermit(ctx context.Context, args *protocol.PermitArgs, coordinator string) (reply protocol.PermitReply, err error) {
	owner := cmp.Or(s.entries.owner(args.Fingerprint), coordinator)
	err = s.entries.call(ctx, owner, protocol.MethodPermit, args, &reply)
	return reply, err
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

// end gives the permit back. After a crash it first waits until the crash is
// durable, so that no other copy runs before that is known.
func (p *permit) end() {
	in := p.runner.crashes.incidentOf(p.attempt)
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
		p.sidecar.give(ctx, args)
	})
}

// give tells the owner until it has taken the permit back.
func (s *Sidecar) give(ctx context.Context, args *protocol.EndPermitArgs) {
	for ctx.Err() == nil {
		var reply protocol.EndPermitReply
		err := s.entries.call(ctx, s.entries.owner(args.Fingerprint), protocol.MethodEndPermit, args, &reply)
		if err == nil && reply.Problem == nil {
			return
		}
		pause(ctx, appendRetryDelay)
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
		pause(ctx, appendRetryDelay)
	}
}

// hold and drop keep the permits in use by attempt.
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
