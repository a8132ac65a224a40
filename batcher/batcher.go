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
	"github.com/sycamoretally/sycamoretally/coordination/beside"
	"github.com/sycamoretally/sycamoretally/coordination/jobroute"
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
	// pollInterval is the time between two polls of the target's load. It bounds how
	// long online requests wait for slots that are in use by items.
	pollInterval = 25 * time.Millisecond
	// pollTimeout bounds one poll of the target's load.
	pollTimeout = 500 * time.Millisecond
	// workReadInterval and configReadInterval are the times between two reads of a topic.
	workReadInterval   = 300 * time.Millisecond
	configReadInterval = 700 * time.Millisecond
	// heartbeatInterval is the time without a record in the work log after which a batcher
	// that holds items appends a heartbeat.
	heartbeatInterval = time.Second
	// targetLostTimeout is how long the target may be unresponsive before its items are
	// released.
	targetLostTimeout = time.Second
	// stopFlushTimeout bounds the wait for the last records to be stored when the batcher
	// stops.
	stopFlushTimeout = 1500 * time.Millisecond
)

const (
	// settleTime is how long a slot must have been spare before an item starts there.
	settleTime = 50 * time.Millisecond
	// maxStartsPerPoll bounds the items started after one poll, since the target's report
	// does not show them yet.
	maxStartsPerPoll = 2
)

// Reporter reads the state of the target beside the batcher.
type Reporter interface {
	// Report returns the target's state.
	Report(ctx context.Context, address string) (fleet.TargetState, error)
	// Identify returns the ID of the target's current incarnation.
	Identify(ctx context.Context, address, healthPath string) (string, error)
}

// Params holds the dependencies of a batcher.
type Params struct {
	Node     *fleet.Node
	Store    fleet.Store
	Sender   fleet.Sender
	Reporter Reporter
	Decoder  registry.Decoder
	// StartSpread is the time over which batchers that start at the same moment spread their
	// first reads of the work log, at random.
	StartSpread time.Duration
	// ReadSettings reads the settings that are in effect now. If nil, those in Node are.
	ReadSettings func() (*fleet.Node, error)
	// Now is the clock by which the target's identity ages, which counts suspensions of the
	// instance. If nil, it is the monotonic clock.
	Now func() time.Duration
	// Shuffle permutes n elements. If nil, the order is random.
	Shuffle func(n int, swap func(i, j int))
	// Registry is where the metrics are registered. If nil, a new registry is used.
	Registry *prometheus.Registry
}

// Batcher runs items of batch jobs at one target.
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
	// readableSince is when the work log last became readable.
	readableSince time.Time
	held          map[worklog.ItemRef]*heldItem
	// handedOver holds the items that were released or got a result here, until the log
	// shows it, with the offset of the claim by which they were held.
	handedOver map[worklog.ItemRef]int64
	// refused holds the items that the target has refused time and again, with the time at which
	// they were given back.
	refused map[worklog.ItemRef]time.Time
	// room is the number of items that the target had room for at its last poll.
	room int
	// targetID is the ID of the target's incarnation, empty if it is not known.
	targetID string
	// targetBorn is the time of its start in milliseconds since the epoch, 0 if unknown.
	targetBorn int64
	// identity tells the service of the target. usableAt is when that was last known and in the
	// configuration.
	identity beside.Identity
	usableAt time.Time
	lookup   serviceLookup
	// lastReport is when the target last answered a poll.
	lastReport time.Time
	// claiming is set while a claim is in progress, which alone uses claimBackoff.
	claiming     bool
	claimBackoff pause.Backoff
	meter        batchlimit.Limiter
	inflow       batchlimit.OnlineCounter
	// draining is set while the target reports that it is draining.
	draining bool
	pace     urgency.DurationEstimator
	learned  learnedCapacity
	// lastHeartbeat is when the batcher last enqueued a heartbeat, lastClaim when it began
	// the last claim that was stored, and lastSave when it last saved progress.
	lastHeartbeat time.Time
	lastClaim     time.Time
	lastSave      time.Time
	stopping      bool

	// ctx is cancelled when the tomb is dying.
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
	if p.Now == nil {
		begun := time.Now()
		p.Now = func() time.Duration { return time.Since(begun) }
	}
	b := &Batcher{
		params:  p,
		configs: registry.NewConfigurations(p.Decoder),
		fold:    worklog.NewFold(),
		writer:  worklog.NewProcessWriter(p.Node.Name),
		held:    map[worklog.ItemRef]*heldItem{},

		handedOver: map[worklog.ItemRef]int64{},
		refused:    map[worklog.ItemRef]time.Time{},
		identity:   beside.Identity{AddressReuse: p.Node.AddressReuse, StartedAt: p.Now(), SettingsService: p.Node.Service},
		lookup:     serviceLookup{backoff: pause.Backoff{Min: minLookupDelay, Max: maxLookupDelay}},

		claimBackoff: pause.Backoff{Min: minClaimRetryDelay, Max: maxClaimRetryDelay},
		meter:        batchlimit.Limiter{SettleTime: settleTime},
		inflow:       batchlimit.OnlineCounter{Window: announceWindow},
	}
	newOutbox := func(topic fleet.Topic) *outbox.Outbox {
		return outbox.New(outbox.Params{Store: p.Store, Topic: topic, MaxBytes: p.Node.MaxCallBytes / 2, NextKey: b.writer.NextKey})
	}
	b.outbox, b.texts = newOutbox(fleet.TopicWork), newOutbox(fleet.TopicTexts)
	b.metrics = newMetrics(b)
	b.tomb, b.ctx = tomb.WithContext(context.Background())
	b.configTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicConfiguration, Name: "configuration", Interval: configReadInterval,
		Reset: b.configs.Apply, Apply: b.configs.Apply, StoreAnswers: func() bool { return b.workTail.Answers() },
	})
	b.workTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicWork, Name: "work", Interval: workReadInterval, StartSpread: p.StartSpread,
		Reset: b.reset, Apply: b.apply, OnRecovered: b.storeReturned,
	})
	return b
}

// Start starts the background tasks: following the topics, storing records and polling
// the target.
func (b *Batcher) Start() {
	ctx := b.ctx
	b.tomb.Go(func() error { return b.configTail.Run(ctx) })
	b.tomb.Go(func() error { return b.workTail.RunAfter(ctx, b.configTail) })
	b.tomb.Go(func() error { return b.outbox.Run(ctx) })
	b.tomb.Go(func() error { return b.texts.Run(ctx) })
	b.tomb.Go(b.pollTarget)
	klog.InfoS("batcher started", "instance", b.params.Node.Name, "target", b.params.Node.TargetAddress, "writer", b.writer.Name())
}

// Stop releases every item with its progress and stops the background tasks.
func (b *Batcher) Stop() error {
	b.mu.Lock()
	b.stopping = true
	klog.InfoS("batcher stopping", "items", len(b.held))
	b.releaseAll("the batcher is stopping")
	b.mu.Unlock()
	for begun := time.Now(); b.unstoredRecords() > 0 && time.Since(begun) < stopFlushTimeout; {
		pause.For(context.Background(), pollInterval)
	}
	b.tomb.Kill(nil)
	err := b.tomb.Wait()
	klog.InfoS("batcher stopped", "unstored_records", b.unstoredRecords())
	return err
}

func (b *Batcher) reset(records []fleet.Record) {
	fold := worklog.NewFold()
	fold.Restore(time.Now(), time.Now().Round(0), records)
	b.mu.Lock()
	defer b.mu.Unlock()
	fold.KeepAges(b.fold)
	b.fold = fold
	b.readableSince = time.Now()
	b.dropLostItems()
	b.reconcile()
	klog.InfoS("work log read", "records", len(records), "open_jobs", len(fold.OpenJobs()), "malformed", fold.Malformed())
}

func (b *Batcher) apply(records []fleet.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fold.Apply(time.Now(), records)
	b.dropLostItems()
	b.reconcile()
}

func (b *Batcher) storeReturned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readableSince = time.Now()
}

// dropLostItems stops and drops items that have a result, belong to a job that has ended,
// or were claimed by another batcher. mu must be held.
func (b *Batcher) dropLostItems() {
	for ref, h := range b.held {
		job, item := b.fold.Job(ref.Job), b.fold.Item(ref)
		if job != nil && !job.Ended && !item.Done && item.Holder == b.writer.Name() {
			continue
		}
		h.cancelRun(errItemLost.New("item no longer held by this batcher"))
		delete(b.held, ref)
	}
}

// adjustItems starts, preempts, claims and releases items according to the target's state.
func (b *Batcher) adjustItems(ctx context.Context, state fleet.TargetState, failure error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopping {
		return
	}
	now := time.Now()
	if failure != nil {
		if b.targetID != "" && now.Sub(b.lastReport) > targetLostTimeout {
			klog.InfoS("target lost", "target", b.targetID, "error", protocol.CauseOf(failure))
			b.targetID = ""
			b.releaseAll("the target is unresponsive")
		}
		return
	}
	b.lastReport = now
	if b.targetID != state.ID {
		klog.InfoS("target found", "target", state.ID, "before", b.targetID)
		b.targetID = state.ID
	}
	b.targetBorn = state.StartUnixMillis
	b.draining = state.Draining
	if b.draining {
		b.releaseAll("the target is draining")
		return
	}
	service := b.service()
	if service == nil || b.targetID == "" {
		b.releaseUnserved(now)
		return
	}
	b.usableAt = now
	b.sendHeartbeat(now)
	b.saveProgress(now)
	load := batchlimit.Load{Slots: service.Slots, Running: state.Running, Waiting: state.Waiting, Items: len(b.runningItems())}
	b.inflow.SetReported(load.Online())
	b.learnCapacity(now, load.Slots, load.Running+load.Waiting)
	room := b.meter.Update(now, load)
	b.room = room.MaxAfterStarts
	b.releaseMoved()
	ranked := b.rankItems(now)
	b.runMostUrgent(ctx, now, ranked, room)
	b.claim(ctx, now, room.MaxAfterStarts-countInTime(ranked), room.MaxAfterStarts-len(ranked))
	b.releaseLate(ranked, room.MaxRunning)
	b.releaseWaiting(now, ranked, room.MaxRunning)
}

// sendHeartbeat enqueues a heartbeat for the work log if items are held and no record of
// this batcher was stored recently or waits in the outbox: any record shows that it is
// alive. mu must be held.
func (b *Batcher) sendHeartbeat(now time.Time) {
	if len(b.held) == 0 || b.outbox.Len() > 0 {
		return
	}
	for _, written := range []time.Time{b.lastHeartbeat, b.lastClaim, b.outbox.LastStored()} {
		if now.Sub(written) < heartbeatInterval {
			return
		}
	}
	b.lastHeartbeat = now
	b.enqueue(worklog.Entry{Heartbeat: true})
}

// servesJob reports whether the target's service may run the job's items, as far as the
// configuration that this batcher has read can tell. It also does so for a job whose route
// has been removed.
func (b *Batcher) servesJob(job *worklog.Job) bool {
	route, standing := jobroute.Find(b.configs.Current(), job.Accept)
	switch standing {
	case jobroute.InForce:
		return route.Serves(b.targetService())
	case jobroute.Removed:
		return true
	default:
		return false
	}
}
