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
	// loadCheckInterval is the time between two checks whether a target must load a model.
	loadCheckInterval = 200 * time.Millisecond
	// revokeJitterPerInstance is how much each listed instance adds to the random delay
	// before a revocation.
	revokeJitterPerInstance = 5 * time.Millisecond
	// drainPollInterval is the time between two checks whether a target is idle.
	drainPollInterval = 20 * time.Millisecond
	// minFetchBackoff and maxFetchBackoff bound the back-off after a failed fetch from the
	// weight store.
	minFetchBackoff = 200 * time.Millisecond
	maxFetchBackoff = 10 * time.Second
	// fetchTimeout bounds one fetch of weights, and loadTimeout one load order to the
	// engine.
	fetchTimeout = 5 * time.Minute
	loadTimeout  = 5 * time.Minute
)

// errStaleTurn ends a turn whose holder is no longer current, or whose placement was
// replaced.
var errStaleTurn = protocol.Errors.NewType("stale_turn")

// modelLoader loads the model that the configuration places on one target's engine.
// Nothing else sends load orders to the engine.
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
	// store appends a record to the configuration stream.
	store func(ctx context.Context, rec protocol.Record) (protocol.Position, error)
}

// run loads models until ctx ends. A load that failed is retried in a later turn.
func (l *modelLoader) run(ctx context.Context) error {
	l.registerTarget(ctx)
	for ctx.Err() == nil {
		l.revokeUnresponsive(ctx)
		if err := l.loadIfNeeded(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("load not done", "target", l.runner.target.Name, "error", protocol.CauseOf(err))
		}
		pause.For(ctx, jitter(loadCheckInterval))
	}
	return nil
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// registerTarget registers this process as the holder of its target, and retries until
// the record is stored or ctx ends.
func (l *modelLoader) registerTarget(ctx context.Context) {
	t := l.runner.target
	rec := protocol.Record{ID: protocol.NewID(), Hello: &protocol.TargetRegistration{Target: t.Name, Holder: l.holder, Instance: l.instance, Labels: t.Labels}}
	for ctx.Err() == nil {
		if _, err := l.appendAndFold(ctx, rec); err == nil {
			return
		}
		pause.For(ctx, jitter(appendRetryDelay))
	}
}

// appendAndFold stores a record and waits until this process has folded it.
func (l *modelLoader) appendAndFold(ctx context.Context, rec protocol.Record) (protocol.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, entryCallTimeout)
	defer cancel()
	at, err := l.store(ctx, rec)
	if err != nil {
		return 0, err
	}
	return at, l.follower.WaitFor(ctx, at.Offset())
}

// loadIfNeeded loads the desired model if the engine does not have it and the target
// may take a turn now.
func (l *modelLoader) loadIfNeeded(ctx context.Context) error {
	config := l.config.Current()
	desired, found := config.DesiredModel(config.Labels(l.runner.target.Labels))
	known, registered := l.loads.Target(l.runner.target.Name)
	if !registered {
		l.registerTarget(ctx) // removed from the fold while its instance was not listed
		return nil
	}
	boot, up := l.runner.crashDetector.currentBoot()
	if !found || !up || known.Holder != l.holder || known.Content == desired.Content() && known.Boot == boot {
		return nil
	}
	if !l.loads.MayClaim(l.runner.target.Name) {
		return nil
	}
	return l.takeTurn(ctx, &desired)
}

// revokeUnresponsive revokes the turns of unresponsive holders, and removes targets
// whose instance is no longer listed.
func (l *modelLoader) revokeUnresponsive(ctx context.Context) {
	listed := map[string]bool{}
	for _, i := range l.members.Instances() {
		listed[i.Name] = true
	}
	now := time.Now()
	revokes := l.expiredTurns.Stalled(now, l.loads.Loading())
	if listed[l.instance] {
		absent := l.loads.OnUnlistedInstances(func(instance string) bool { return listed[instance] })
		for _, r := range l.absentTargets.Stalled(now, absent) {
			r.Gone = true
			revokes = append(revokes, r)
		}
	}
	for _, r := range revokes {
		// Any process may revoke. The random delay, longer with more instances, lets the
		// others see the record of the first one and skip theirs.
		pause.For(ctx, rand.N(loadCheckInterval+time.Duration(len(listed))*revokeJitterPerInstance))
		if t, found := l.loads.Target(r.Target); !found || t.Seen != r.Seen || !r.Gone && t.Turn == nil {
			continue
		}
		klog.InfoS("turn revoked", "target", r.Target, "gone", r.Gone)
		_, _ = l.appendAndFold(ctx, protocol.Record{ID: protocol.NewID(), Revoke: &r})
	}
}

// loadTurn is a turn in progress: the time in which the target is out of service to
// load a model.
type loadTurn struct {
	*modelLoader
	desired *state.DesiredModel
	lease   placement.Lease
	bootID  string
}

// takeTurn claims a turn and, if the claim wins in the log, loads the model.
func (l *modelLoader) takeTurn(ctx context.Context, desired *state.DesiredModel) error {
	t := &loadTurn{modelLoader: l, desired: desired}
	name := l.runner.target.Name
	claim := &protocol.LoadClaim{Target: name, Holder: l.holder, Fence: desired.Fence}
	if err := t.confirm(ctx, protocol.Record{ID: protocol.NewID(), Claim: claim}); err != nil {
		if errorx.IsOfType(err, errStaleTurn) {
			return nil // another target got the turn
		}
		return err
	}
	l.runner.setLoading(true)
	defer l.runner.setLoading(false)
	err := t.load(ctx)
	end := &protocol.LoadEnd{Target: name, Holder: l.holder, Fence: desired.Fence, Loaded: err == nil, Content: desired.Content(), Boot: t.bootID}
	if _, endErr := l.appendAndFold(ctx, protocol.Record{ID: protocol.NewID(), Load: end}); err == nil {
		err = endErr
	}
	l.metrics.loads.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	return err
}

// confirm appends a claim or renewal and checks that it is in force: this process
// holds the turn, and its placement is still the newest. Otherwise it fails with
// errStaleTurn.
func (t *loadTurn) confirm(ctx context.Context, rec protocol.Record) error {
	sentAt := time.Now()
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
	t.lease.Confirm(sentAt)
	return nil
}

func (t *loadTurn) renewalRecord() protocol.Record {
	return protocol.Record{ID: protocol.NewID(), Renew: &protocol.LoadRenew{Target: t.runner.target.Name, Holder: t.holder}}
}

// renewDuring runs work and renews the turn until work ends. The work's context ends
// if the turn is lost.
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
			cancel(errStaleTurn.New("the lease expired"))
			<-done
			return errStaleTurn.New("target %s: the turn was lost", t.runner.target.Name)
		}
	}
}

// load waits until the target is idle, fetches the weights and sends the load order.
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
	// The turn is confirmed right before the order, so that a pause of this process since
	// the last renewal is detected. A pause after it ends the order's context before
	// anything is sent.
	if err := t.confirm(ctx, t.renewalRecord()); err != nil {
		return err
	}
	return t.orderLoad(ctx)
}

// orderLoad sends the load order and checks that the engine did not restart meanwhile.
func (t *loadTurn) orderLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	deadline := t.lease.OrderDeadline()
	err := t.renewDuring(ctx, func(ctx context.Context) error {
		return t.runner.engine.SendOrderBefore(ctx, deadline, backend.LoadOrder{
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

// fetchWeights fetches the weights from the weight store, and retries with back-off
// until it succeeds or ctx ends.
func (t *loadTurn) fetchWeights(ctx context.Context) error {
	if t.weights == nil {
		return nil
	}
	backoff := pause.Backoff{Min: minFetchBackoff, Max: maxFetchBackoff}
	for {
		fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
		_, err := t.weights.Fetch(fetchCtx, t.desired.Model, t.desired.Version)
		cancel()
		if err == nil {
			return nil
		}
		t.metrics.fetchRetries.Inc()
		pause.For(ctx, backoff.Next())
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

// setLoading takes the target out of service while it loads a model, and puts it back
// afterwards.
func (r *runner) setLoading(loading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loading = loading
	r.seq++
	r.refuseWaiting()
}

// isBusy reports whether anything runs or waits on the target. Attempts that were told
// to stop and still run at the engine count.
func (r *runner) isBusy() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.cancels) > 0 || r.slots.Lost() > 0
}

// awaitIdle waits until nothing runs or waits on the target.
func (r *runner) awaitIdle(ctx context.Context) error {
	for r.isBusy() {
		pause.For(ctx, drainPollInterval)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	return nil
}

// newModelLoader returns the model loader of the runner's engine.
func (s *Sidecar) newModelLoader(r *runner) *modelLoader {
	l := &modelLoader{
		runner: r, holder: protocol.NewID(), config: s.config, loads: s.loads, follower: s.follower, metrics: s.metrics,
		members: s.members, instance: s.settings.Process.Instance,
		expiredTurns: placement.NewStallDetector(placement.RevokeAfter), absentTargets: placement.NewStallDetector(placement.AbsentAfter),
		store: func(ctx context.Context, rec protocol.Record) (protocol.Position, error) {
			return s.appendRecord(ctx, protocol.StreamConfig, rec)
		},
	}
	if s.settings.Platform.Weights != "" {
		l.weights = backend.NewWeightStore(s.settings.Platform.Weights)
	}
	return l
}

// appendRecord appends a record to a stream through an entry and returns its position.
func (s *Sidecar) appendRecord(ctx context.Context, stream string, rec protocol.Record) (protocol.Position, error) {
	var reply protocol.AppendReply
	args := &protocol.AppendArgs{Stream: stream, Records: []protocol.Record{rec}}
	if err := s.entries.call(ctx, "", protocol.MethodAppend, args, &reply); err != nil {
		return 0, err
	}
	return reply.Last, reply.Problem.Err()
}
