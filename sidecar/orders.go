package sidecar

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/placement"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

const (
	// loadCheckInterval is the time between two looks at what a target must load.
	loadCheckInterval = 200 * time.Millisecond
	// revokeJitterPerInstance is the time for each process over which revocations are spread.
	revokeJitterPerInstance = 5 * time.Millisecond
	// drainPollInterval is the time between two looks at a target that drains.
	drainPollInterval = 20 * time.Millisecond
	// minFetchBackoff is the first wait after the weight store refused; it doubles up
	// to maxFetchDelay, and a random part of it is taken.
	minFetchBackoff = 200 * time.Millisecond
	maxFetchBackoff = 10 * time.Second
	// fetchTimeout and orderTimeout bound one fetch and one order.
	fetchTimeout = 5 * time.Minute
	loadTimeout  = 5 * time.Minute
)

// errStaleTurn ends a turn whose holder is not current any more, or whose placement
// was replaced.
var errStaleTurn = protocol.Errors.NewType("stale_turn")

// modelLoader keeps one target's engine at what the configuration says. Nothing else
// gives orders to it.
type modelLoader struct {
	runner        *runner
	holder        string
	config        *state.ConfigFold
	loads         *state.Loads
	follower      *follow.Follower
	weights       *backend.WeightStore
	metrics       *metrics
	members       *membership.Manager
	instance      string
	expiredTurns  *placement.StallDetector
	absentTargets *placement.StallDetector
	// store appends a record to the configuration's stream.
	store func(ctx context.Context, rec protocol.Record) (protocol.Position, error)
}

// run works until ctx ends. A turn that ends badly is taken again later.
func (o *modelLoader) run(ctx context.Context) error {
	o.registerTarget(ctx)
	for ctx.Err() == nil {
		o.revokeUnresponsive(ctx)
		if err := o.loadIfNeeded(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("load not done", "target", o.runner.target.Name, "error", protocol.CauseOf(err))
		}
		pause.For(ctx, jitter(loadCheckInterval))
	}
	return nil
}

// jitter returns between half and all of d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// registerTarget makes this process the holder of its target.
func (o *modelLoader) registerTarget(ctx context.Context) {
	t := o.runner.target
	rec := protocol.Record{ID: protocol.NewID(), Hello: &protocol.TargetRegistration{Target: t.Name, Holder: o.holder, Instance: o.instance, Labels: t.Labels}}
	for ctx.Err() == nil {
		if _, err := o.appendAndFold(ctx, rec); err == nil {
			return
		}
		pause.For(ctx, jitter(appendRetryDelay))
	}
}

// appendAndFold stores a record and waits until it is folded here.
func (o *modelLoader) appendAndFold(ctx context.Context, rec protocol.Record) (protocol.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
	defer cancel()
	at, err := o.store(ctx, rec)
	if err != nil {
		return 0, err
	}
	return at, o.follower.WaitFor(ctx, at.Offset())
}

// loadIfNeeded loads what is missing, if it is this target's turn.
func (o *modelLoader) loadIfNeeded(ctx context.Context) error {
	config := o.config.Current()
	want, found := config.DesiredModel(config.Labels(o.runner.target.Labels))
	known, greeted := o.loads.Target(o.runner.target.Name)
	if !greeted {
		o.registerTarget(ctx) // forgotten while its instance was not listed
		return nil
	}
	boot, up := o.runner.crashDetector.currentBoot()
	if !found || !up || known.Holder != o.holder || known.Content == want.Content() && known.Boot == boot {
		return nil
	}
	if !o.loads.MayClaim(o.runner.target.Name) {
		return nil
	}
	return o.takeTurn(ctx, &want)
}

// revokeUnresponsive frees the turns of holders that have stopped, and forgets targets
// that have left.
func (o *modelLoader) revokeUnresponsive(ctx context.Context) {
	listed := map[string]bool{}
	for _, i := range o.members.Instances() {
		listed[i.Name] = true
	}
	now := time.Now()
	revokes := o.expiredTurns.Stalled(now, o.loads.Loading())
	if listed[o.instance] {
		absent := o.loads.OnUnlistedInstances(func(instance string) bool { return listed[instance] })
		for _, r := range o.absentTargets.Stalled(now, absent) {
			r.Gone = true
			revokes = append(revokes, r)
		}
	}
	for _, r := range revokes {
		// Another process may be faster: the more there are, the longer the spread.
		pause.For(ctx, rand.N(loadCheckInterval+time.Duration(len(listed))*revokeJitterPerInstance))
		if t, found := o.loads.Target(r.Target); !found || t.Seen != r.Seen || !r.Gone && t.Turn == nil {
			continue
		}
		klog.InfoS("turn revoked", "target", r.Target, "gone", r.Gone)
		_, _ = o.appendAndFold(ctx, protocol.Record{ID: protocol.NewID(), Revoke: &r})
	}
}

// loadTurn is a turn in progress.
type loadTurn struct {
	*modelLoader
	desired *state.DesiredModel
	lease   placement.Lease
	bootID  string
}

// takeTurn claims a turn and carries it out where the log gives it.
func (o *modelLoader) takeTurn(ctx context.Context, want *state.DesiredModel) error {
	t := &loadTurn{modelLoader: o, desired: want}
	name := o.runner.target.Name
	claim := &protocol.LoadClaim{Target: name, Holder: o.holder, Fence: want.Fence}
	if err := t.confirm(ctx, protocol.Record{ID: protocol.NewID(), Claim: claim}); err != nil {
		if errorx.IsOfType(err, errStaleTurn) {
			return nil // another target got the turn
		}
		return err
	}
	o.runner.setLoading(true)
	defer o.runner.setLoading(false)
	err := t.load(ctx)
	end := &protocol.LoadEnd{Target: name, Holder: o.holder, Fence: want.Fence, Loaded: err == nil, Content: want.Content(), Boot: t.bootID}
	if _, endErr := o.appendAndFold(ctx, protocol.Record{ID: protocol.NewID(), Load: end}); err == nil {
		err = endErr
	}
	o.metrics.loads.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	return err
}

// confirm appends a claim or renewal and checks that it is in force: the turn is
// this process's and its placement is still the newest. It fails with errStale.
func (t *loadTurn) confirm(ctx context.Context, rec protocol.Record) error {
	sent := time.Now()
	at, err := t.appendAndFold(ctx, rec)
	if err != nil {
		return err
	}
	known, _ := t.loads.Target(t.runner.target.Name)
	config := t.config.Current()
	newest, _ := config.DesiredModel(config.Labels(t.runner.target.Labels))
	if known.Turn == nil || known.Turn.Holder != t.holder || known.Seen < at || newest.Fence != t.desired.Fence {
		return errStaleTurn.New("target %s: the turn for %s is over", t.runner.target.Name, t.desired.Fence)
	}
	t.lease.Confirm(sent)
	return nil
}

func (t *loadTurn) renewalRecord() protocol.Record {
	return protocol.Record{ID: protocol.NewID(), Renew: &protocol.LoadRenew{Target: t.runner.target.Name, Holder: t.holder}}
}

// renewDuring runs work and renews the turn meanwhile. The work's context ends when the
// turn is lost.
func (t *loadTurn) renewDuring(ctx context.Context, work func(ctx context.Context) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan error, 1)
	go func() { done <- work(ctx) }()
	ticker := time.NewTicker(placement.RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
		}
		err := t.confirm(ctx, t.renewalRecord())
		if errorx.IsOfType(err, errStaleTurn) || !t.lease.Valid(time.Now()) {
			cancel(errStaleTurn.New("the lease lapsed"))
			<-done
			return errStaleTurn.New("target %s: the turn was lost", t.runner.target.Name)
		}
	}
}

// load drains the target, fetches the weights and gives the order.
func (t *loadTurn) load(ctx context.Context) error {
	if err := t.renewDuring(ctx, t.runner.awaitIdle); err != nil {
		return err
	}
	if err := t.renewDuring(ctx, t.fetchWeights); err != nil {
		return err
	}
	var err error
	if t.bootID, err = t.runner.targetBoot(ctx); err != nil {
		return err
	}
	// The proof is renewed right before the order, so that a pause in between
	// shows; a pause after it ends the order's context before anything is sent.
	if err := t.confirm(ctx, t.renewalRecord()); err != nil {
		return err
	}
	return t.orderLoad(ctx)
}

func (t *loadTurn) orderLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	by := t.lease.OrderDeadline()
	err := t.renewDuring(ctx, func(ctx context.Context) error {
		return t.runner.engine.SendOrderBefore(ctx, by, backend.LoadOrder{
			Model: t.desired.Model, Version: t.desired.Version, Adapters: t.desired.Adapters, Fence: uint64(t.desired.Fence),
		})
	})
	if err != nil {
		return err
	}
	boot, err := t.runner.targetBoot(ctx)
	if err == nil && boot != t.bootID {
		return protocol.ErrTargetFailed.New("target %s restarted while it loaded", t.runner.target.Name)
	}
	klog.InfoS("model loaded", "target", t.runner.target.Name, "model", t.desired.Model, "version", t.desired.Version, "fence", t.desired.Fence)
	return err
}

// fetchWeights has the weights read from the store, as often as the store refuses.
func (t *loadTurn) fetchWeights(ctx context.Context) error {
	if t.weights == nil {
		return nil
	}
	for delay := minFetchBackoff; ; delay = min(2*delay, maxFetchBackoff) {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		_, err := t.weights.Fetch(fetchCtx, t.desired.Model, t.desired.Version)
		cancel()
		if err == nil {
			return nil
		}
		t.metrics.fetchRetries.Inc()
		pause.For(ctx, jitter(delay))
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// setLoading takes the target out of service while it loads.
func (r *runner) setLoading(loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = loading
	r.seq++
	r.refuseWaiting()
}

// isBusy reports whether anything runs or waits on the target, work that was told
// to stop included.
func (r *runner) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancels) > 0 || r.slots.Lost() > 0
}

// awaitIdle waits until nothing runs on the target.
func (r *runner) awaitIdle(ctx context.Context) error {
	for r.isBusy() {
		pause.For(ctx, drainPollInterval)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// newModelLoader returns what orders the runner's engine.
func (s *Sidecar) newModelLoader(r *runner) *modelLoader {
	o := &modelLoader{
		runner: r, holder: protocol.NewID(), config: s.config, loads: s.loads, follower: s.follower, metrics: s.metrics,
		members: s.members, instance: s.settings.Process.Instance,
		expiredTurns: placement.NewStallDetector(placement.RevokeAfter), absentTargets: placement.NewStallDetector(placement.AbsentAfter),
		store: func(ctx context.Context, rec protocol.Record) (protocol.Position, error) {
			return s.appendRecord(ctx, protocol.StreamConfig, rec)
		},
	}
	if s.settings.Platform.Weights != "" {
		o.weights = backend.NewWeightStore(s.settings.Platform.Weights)
	}
	return o
}

func (s *Sidecar) appendRecord(ctx context.Context, stream string, rec protocol.Record) (protocol.Position, error) {
	var reply protocol.AppendReply
	args := &protocol.AppendArgs{Stream: stream, Records: []protocol.Record{rec}}
	if err := s.entries.call(ctx, "", protocol.MethodAppend, args, &reply); err != nil {
		return 0, err
	}
	return reply.Last, reply.Problem.Err()
}
