package batcher

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
	"github.com/sycamoretally/sycamoretally/coordination/outbox"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/coordination/topic"
	"github.com/sycamoretally/sycamoretally/coordination/urgency"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// lookInterval is the time between two looks at the target's load: how long
	// online work may wait until items give slots back.
	lookInterval = 25 * time.Millisecond
	// lookTimeout bounds a look.
	lookTimeout = 500 * time.Millisecond
	// workInterval and configInterval are the times between two reads of a topic.
	workInterval   = 300 * time.Millisecond
	configInterval = 700 * time.Millisecond
	// aliveInterval is the time between two signs of life while items are held.
	aliveInterval = time.Second
	// lostAfter is how long the target may not answer before its items go to others.
	lostAfter = time.Second
	// stopFlush bounds the storing of the last records when the batcher stops.
	stopFlush = 1500 * time.Millisecond
)

const (
	// settleTime is how long a slot must have been spare before an item starts there.
	settleTime = 50 * time.Millisecond
	// maxStarts bounds the items started at one look, since the target's report
	// does not show them yet.
	maxStarts = 2
)

// Reporter tells of the target beside the batcher.
type Reporter interface {
	// Report returns the target's state.
	Report(ctx context.Context, address string) (fleet.TargetState, error)
	// Identify returns the ID of the target's lifetime.
	Identify(ctx context.Context, address, healthPath string) (string, error)
}

// Params are what a batcher works with.
type Params struct {
	Node     *fleet.Node
	Store    fleet.Store
	Sender   fleet.Sender
	Reporter Reporter
	Decoder  registry.Decoder
	// Shuffle permutes n things; nil stands for a random order.
	Shuffle func(n int, swap func(i, j int))
	// Registry takes the metrics; nil stands for one of its own.
	Registry *prometheus.Registry
}

// Batcher runs items at one target.
type Batcher struct {
	params  Params
	configs *registry.Configurations

	configTail *topic.Follower
	workTail   *topic.Follower
	outbox     *outbox.Outbox
	texts      *outbox.Outbox
	metrics    *metrics

	mu     sync.Mutex
	fold   *worklog.Fold
	writer *worklog.Writer
	// since is when the log became readable.
	since time.Time
	held  map[worklog.ItemRef]*held
	// target is the lifetime of the target, empty if not known.
	target   string
	answered time.Time
	claiming bool
	meter    batchlimit.Limiter
	inflow   batchlimit.OnlineCounter
	// draining is set while the target says that it leaves.
	draining bool
	pace     urgency.DurationEstimator
	// alive and saved are when the batcher last said that it goes on, and last saved
	// progress.
	alive    time.Time
	saved    time.Time
	stopping bool

	// ctx ends when the tomb is dying.
	ctx  context.Context
	tomb *tomb.Tomb
}

// New returns a batcher that has not started.
func New(p Params) *Batcher {
	if p.Shuffle == nil {
		p.Shuffle = rand.Shuffle
	}
	if p.Registry == nil {
		p.Registry = prometheus.NewRegistry()
	}
	b := &Batcher{
		params:  p,
		configs: registry.NewConfigurations(p.Decoder),
		fold:    worklog.NewFold(),
		writer:  worklog.NewProcessWriter(p.Node.Name),
		held:    map[worklog.ItemRef]*held{},
		meter:   batchlimit.Limiter{SettleTime: settleTime},
		inflow:  batchlimit.OnlineCounter{Window: announceWindow},
	}
	newOutbox := func(topic fleet.Topic) *outbox.Outbox {
		return outbox.New(outbox.Params{Store: p.Store, Topic: topic, MaxBytes: p.Node.MaxCallBytes / 2, NextKey: b.writer.NextKey})
	}
	b.outbox, b.texts = newOutbox(fleet.TopicWork), newOutbox(fleet.TopicTexts)
	b.metrics = newMetrics(b)
	b.tomb, b.ctx = tomb.WithContext(context.Background())
	b.configTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicConfiguration, Name: "configuration", Interval: configInterval,
		Reset: b.configs.Apply, Apply: b.configs.Apply,
	})
	b.workTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicWork, Name: "work", Interval: workInterval,
		Reset: b.reset, Apply: b.apply, OnRecovered: b.storeReturned,
	})
	return b
}

// Start begins to look for work.
func (b *Batcher) Start() {
	ctx := b.ctx
	b.tomb.Go(func() error { return b.configTail.Run(ctx) })
	b.tomb.Go(func() error { return b.workTail.Run(ctx) })
	b.tomb.Go(func() error { return b.outbox.Run(ctx) })
	b.tomb.Go(func() error { return b.texts.Run(ctx) })
	b.tomb.Go(b.look)
	klog.InfoS("batcher started", "instance", b.params.Node.Name, "target", b.params.Node.TargetAddress, "writer", b.writer.Name())
}

// Stop gives every item back with what has been done of it and stops.
func (b *Batcher) Stop() error {
	b.mu.Lock()
	b.stopping = true
	klog.InfoS("batcher stopping", "items", len(b.held))
	b.releaseAll("the batcher stops")
	b.mu.Unlock()
	for begun := time.Now(); b.unstored() > 0 && time.Since(begun) < stopFlush; {
		pause.For(context.Background(), lookInterval)
	}
	b.tomb.Kill(nil)
	err := b.tomb.Wait()
	klog.InfoS("batcher stopped", "unstored_records", b.unstored())
	return err
}

func (b *Batcher) reset(records []fleet.Record) {
	fold := worklog.NewFold()
	fold.Restore(time.Now(), time.Now().Round(0), records)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold = fold
	b.since = time.Now()
	b.dropLost()
	klog.InfoS("work log read", "records", len(records), "open_jobs", len(fold.OpenJobs()), "malformed", fold.Malformed())
}

func (b *Batcher) apply(records []fleet.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold.Apply(time.Now(), records)
	b.dropLost()
}

func (b *Batcher) storeReturned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.since = time.Now()
}

// dropLost lets go of items that have a result, belong to a job that has ended,
// or were claimed by another. The lock is held.
func (b *Batcher) dropLost() {
	for ref, h := range b.held {
		job, item := b.fold.Job(ref.Job), b.fold.Item(ref)
		if job != nil && !job.Ended && !item.Done && item.Holder == b.writer.Name() {
			continue
		}
		h.stop(errLost.New("the item is no longer held"))
		delete(b.held, ref)
	}
}

// look watches the target and adapts the number of items that run there.
func (b *Batcher) look() error {
	ctx := b.ctx
	for ctx.Err() == nil {
		state, err := b.report(ctx)
		b.adapt(ctx, state, err)
		pause.For(ctx, lookInterval)
	}
	return nil
}

func (b *Batcher) report(ctx context.Context) (fleet.TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	state, err := b.params.Reporter.Report(ctx, b.params.Node.TargetAddress)
	if err != nil {
		return state, err
	}
	b.mu.Lock()
	known := b.target
	b.mu.Unlock()
	if state.ID == "" {
		state.ID = known
	}
	if service := b.service(); state.ID == "" && service != nil {
		state.ID, err = b.params.Reporter.Identify(ctx, b.params.Node.TargetAddress, service.HealthPath)
	}
	return state, err
}

// service returns what is configured of the target's service, nil if nothing is.
func (b *Batcher) service() *fleet.Service {
	c := b.configs.Current()
	if c == nil {
		return nil
	}
	return c.Services[b.params.Node.Service]
}

// adapt carries out what the target's state asks for.
func (b *Batcher) adapt(ctx context.Context, state fleet.TargetState, failure error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping {
		return
	}
	now := time.Now()
	if failure != nil {
		if b.target != "" && now.Sub(b.answered) > lostAfter {
			klog.InfoS("target lost", "target", b.target, "error", protocol.CauseOf(failure))
			b.target = ""
			b.releaseAll("the target does not answer")
		}
		return
	}
	b.answered = now
	if b.target != state.ID {
		klog.InfoS("target found", "target", state.ID, "before", b.target)
		b.target = state.ID
	}
	b.draining = state.Draining
	if b.draining {
		b.releaseAll("the target drains")
		return
	}
	service := b.service()
	if service == nil || b.target == "" {
		return
	}
	b.signAlive(now)
	b.saveProgress(now)
	load := batchlimit.Load{Slots: service.Slots, Running: state.Running, Waiting: state.Waiting, Items: len(b.running())}
	b.inflow.SetReported(load.Online())
	room := b.meter.Update(now, load)
	ranked := b.rank(now)
	b.runFirst(ctx, now, ranked, room)
	b.claim(ctx, now, room.MaxAfterStarts-inTime(ranked), room.MaxAfterStarts-len(ranked))
	b.releaseLate(ranked, room.MaxRunning)
}

// signAlive says from time to time that the batcher goes on with its items. The
// lock is held.
func (b *Batcher) signAlive(now time.Time) {
	if len(b.held) == 0 || now.Sub(b.alive) < aliveInterval || b.outbox.Len() > 0 {
		return
	}
	b.alive = now
	b.put(worklog.Entry{Heartbeat: true})
}

// runs reports whether the target's service runs the job's items.
func (b *Batcher) runs(job *worklog.Job) bool {
	route := b.route(job.Accept)
	return route == nil || route.Serves(b.params.Node.Service)
}

// route returns the route of the job, nil where it has been removed.
func (b *Batcher) route(a *worklog.Accept) *fleet.Route {
	c := b.configs.Current()
	if c == nil {
		return nil
	}
	route := c.Match(a.Job.Host, a.Path)
	if route == nil || route.Kind != fleet.KindBatch {
		return nil
	}
	return route
}
