package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/coordination/drain"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/coordination/starting"
	"github.com/sycamoretally/sycamoretally/coordination/topic"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// readInterval is the time between two reads of a topic. It must let departures of
	// targets and new configurations take effect within two seconds.
	readInterval = 400 * time.Millisecond
	// housekeepingInterval is the time between two runs of the housekeeping.
	housekeepingInterval = 100 * time.Millisecond
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
	// giveUpTimeout bounds the wait for the answers to requests that are given up because
	// the gateway stops.
	giveUpTimeout = 200 * time.Millisecond
)

// Params holds the dependencies of a gateway.
type Params struct {
	Node    *fleet.Node
	Store   fleet.Store
	Sender  fleet.Sender
	Decoder registry.Decoder
	// LoadQuerier queries batchers for the loads of targets. It is nil if there are no
	// batchers to query.
	LoadQuerier LoadQuerier
	// CrashRecorder reaches the batchers that record crashes while the store turns this gateway
	// away. It is nil if there are none.
	CrashRecorder CrashRecorder
	// RateLimiter admits the online requests of workspaces with a rate. It is nil if rates
	// are not limited.
	RateLimiter RateLimiter
	// RateMessages reaches the other gateways. If it is set and RateLimiter is nil, the gateways
	// limit rates together.
	RateMessages RateMessages
	// StartSpread is the time over which gateways that start at the same moment spread their
	// first reads of the work log, at random.
	StartSpread time.Duration
	// IsConnected reports whether an idle connection to the address can be used. It is nil
	// if connections are not kept.
	IsConnected func(address string) bool
	// HasEnded reports whether the process at the address is known to have ended. If nil,
	// only the registry shows that.
	HasEnded func(ctx context.Context, address string) bool
	// Sweep closes connections that have been idle for too long.
	Sweep func()
	// Now is the clock by which the configuration ages, which counts suspensions of the
	// instance. If nil, it is the monotonic clock.
	Now func() time.Duration
	// Registry is where the metrics are registered. If nil, a new registry is used.
	Registry *prometheus.Registry
}

// Gateway serves callers.
type Gateway struct {
	params Params
	// node holds the settings currently in force.
	node         atomic.Pointer[fleet.Node]
	configs      *registry.Configurations
	targets      *registry.Targets
	table        *balancing.Balancer
	unresponsive unresponsiveServices
	gate         *starting.Gate
	survey       *starting.Survey
	// surveyWake holds a token when the survey has new questions.
	surveyWake  chan struct{}
	waitingRoom *waitingRoom
	inFlight    *attemptTracker
	metrics     *metrics

	configTail *topic.Follower
	targetTail *topic.Follower
	workTail   *topic.Follower

	// jobsMu guards fold, rebuiltAt and changed, and the writes of accepts.
	jobsMu sync.RWMutex
	fold   *worklog.Fold
	// accepts belong to the fold. Online requests read them without waiting for jobsMu.
	accepts atomic.Pointer[worklog.Accepts]
	// rebuiltAt is when the fold was last made anew from the newest records.
	rebuiltAt time.Time
	// changed is closed and replaced whenever the fold changes.
	changed chan struct{}
	writer  *worklog.Writer
	texts   *textReader
	crashes *crashTracker
	// rates limits the rates of workspaces, nil if another limiter or none does.
	rates *Rates

	active  atomic.Int64
	closing atomic.Bool
	// drainWindow decides which new requests are taken. It is nil until the gateway drains.
	drainWindow atomic.Pointer[drain.Window]
	// requests is cancelled when the requests that are still in flight are given up.
	requests       context.Context
	giveUpRequests context.CancelFunc
	// ctx is cancelled when the tomb is dying.
	ctx  context.Context
	tomb *tomb.Tomb
}

// New returns a gateway that has not started.
func New(p Params) *Gateway {
	if p.Registry == nil {
		p.Registry = prometheus.NewRegistry()
	}
	g := &Gateway{
		params:  p,
		configs: registry.NewConfigurations(p.Decoder),
		targets: registry.NewTargets(p.Decoder, time.Now),
		table:   balancing.New(time.Now, nil),
		gate:    starting.NewGate(time.Now()),
		survey:  starting.NewSurvey(), surveyWake: make(chan struct{}, 1),
		metrics:  newMetrics(p.Registry),
		fold:     worklog.NewFold(),
		texts:    newTextReader(p.Store),
		crashes:  newCrashTracker(),
		inFlight: newAttemptTracker(),
		changed:  make(chan struct{}),
		writer:   worklog.NewProcessWriter(p.Node.Name),
	}
	g.table.SetDataCentre(p.Node.DataCentre)
	g.node.Store(p.Node)
	g.accepts.Store(g.fold.Accepts())
	g.tomb, g.ctx = tomb.WithContext(context.Background())
	g.requests, g.giveUpRequests = context.WithCancel(context.Background())
	g.configTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicConfiguration, Name: "configuration", Interval: readInterval,
		Reset: g.configs.Apply, Apply: g.configs.Apply, StoreAnswers: func() bool { return g.targetTail.Answers() },
		Now: p.Now,
	})
	g.targetTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicTargets, Name: "targets", Interval: readInterval,
		Reset: g.targets.Reset, Apply: g.targets.Apply, OnRecovered: g.targets.StoreRecovered,
	})
	g.workTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicWork, Name: "work", Interval: readInterval, StartSpread: p.StartSpread,
		Reset: g.resetJobs, Apply: g.applyJobs, Now: p.Now,
	})
	g.waitingRoom = newWaitingRoom(newWaitingMetrics(p.Registry))
	g.registerGauges()
	rateMetrics := newRateMetrics(p.Registry)
	if p.RateMessages != nil && p.RateLimiter == nil {
		g.rates = newRates(g, p.RateMessages, rateMetrics)
		g.params.RateLimiter = g.rates
	}
	return g
}

// Rates returns what handles messages about rates, nil if this gateway does not take part.
func (g *Gateway) Rates() *Rates { return g.rates }

// Reload puts into force the settings that may change while the gateway runs: the grace
// period, the retention of results and the maximum size of a record.
func (g *Gateway) Reload(node *fleet.Node) { g.node.Store(node) }

// Start begins to follow the topics of the store and starts the background tasks.
func (g *Gateway) Start() {
	g.tomb.Go(func() error { return g.configTail.Run(g.ctx) })
	g.tomb.Go(func() error { return g.targetTail.Run(g.ctx) })
	g.tomb.Go(func() error { return g.workTail.RunAfter(g.ctx, g.configTail, g.targetTail) })
	g.tomb.Go(g.logFirstReads)
	g.tomb.Go(g.runSurveys)
	g.tomb.Go(g.runHousekeeping)
	g.tomb.Go(g.compactClosed)
	g.tomb.Go(g.deleteExpired)
	if g.rates != nil {
		g.tomb.Go(g.rates.run)
	}
	klog.InfoS("gateway started", "instance", g.params.Node.Name, "data_centre", g.params.Node.DataCentre, "writer", g.writer.Name())
}

// runHousekeeping periodically expires targets and load data, records crashes and closes
// idle connections.
func (g *Gateway) runHousekeeping() error {
	ctx := g.ctx
	for ctx.Err() == nil {
		pause.For(ctx, housekeepingInterval)
		g.targets.RemoveExpired()
		g.table.ForgetIdle()
		g.endLostAttempts()
		g.detectCrashes()
		g.passOnCrashes()
		if g.params.Sweep != nil {
			g.params.Sweep()
		}
	}
	return nil
}

// Ready reports whether callers may connect. A gateway that cannot reach the store is
// not ready, so that callers use others: it accepts no jobs and learns of no new target
// or configuration. If no gateway reaches the store, the platform goes on using all of
// them.
func (g *Gateway) Ready() bool {
	return !g.closing.Load() && g.mayInviteKeys() && !g.isWorkLogStale(maxStoreSilence) && g.configs.Current() != nil && len(g.targets.Current().Services) > 0
}

// IsClosing implements fleet.CallerAPI.
func (g *Gateway) IsClosing() bool { return g.closing.Load() }

// Drain makes the gateway unready and waits for requests in flight to end. New requests
// are still served until callers have had time to notice, if they are sure to end before the
// gateway stops; others are refused. Drain returns once no request is in flight. Shortly
// before the end of the grace period it gives up those that still are.
func (g *Gateway) Drain() {
	klog.InfoS("gateway draining", "requests", g.active.Load())
	begun := time.Now()
	window := drain.NewWindow(begun, g.node.Load().GracePeriod)
	g.drainWindow.Store(&window)
	g.closing.Store(true)
	if g.rates != nil {
		g.tomb.Go(func() error { g.rates.leave(); return nil })
	}
	g.waitingRoom.wakeAll()
	g.awaitIdle(func(now time.Time) bool { return !now.Before(window.NoticeEnd) }, window.Stop)
	if left := g.active.Load(); left > 0 {
		klog.InfoS("requests given up, the grace period is over", "requests", left)
		g.giveUpRequests()
		g.awaitIdle(func(time.Time) bool { return true }, time.Now().Add(giveUpTimeout))
	}
	klog.InfoS("gateway drained", "requests", g.active.Load(), "after", time.Since(begun))
}

// awaitIdle returns at the deadline, or once no request is in flight and mayEnd returns true.
func (g *Gateway) awaitIdle(mayEnd func(now time.Time) bool, deadline time.Time) {
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		if g.active.Load() == 0 && mayEnd(now) {
			return
		}
		pause.For(context.Background(), min(drainPollInterval, deadline.Sub(now)))
	}
}

// Stop stops following the store and waits for the background tasks to end.
func (g *Gateway) Stop() error {
	g.drainWindow.Store(&drain.Window{})
	g.giveUpRequests()
	g.tomb.Kill(nil)
	err := g.tomb.Wait()
	klog.InfoS("gateway stopped", "instance", g.params.Node.Name)
	return err
}

// Limits implements fleet.CallerAPI.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.configs.Current(); c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// Match implements fleet.CallerAPI.
func (g *Gateway) Match(ctx context.Context, host, path string, key fleet.Key) (*fleet.Route, *fleet.Workspace, error) {
	if err := g.awaitConfiguration(ctx); err != nil {
		return nil, nil, err
	}
	c := g.configs.Current()
	if c == nil {
		return nil, nil, newRefusal("no configuration has been read yet")
	}
	route := c.Match(host, path)
	if route == nil && g.isConfigurationStale() {
		return nil, nil, newRefusal("no matching route in configuration version %d, which may be outdated", c.Version)
	}
	if route == nil {
		g.metrics.requests.WithLabelValues("none", "no_route").Inc()
		return nil, nil, fleet.ErrNoRoute.New("no matching route in configuration version %d", c.Version)
	}
	workspace, err := g.authorize(ctx, c, route.Anonymous, key, nil)
	return route, workspace, err
}

// trackRequest counts a request as active until leave is called. limit is the longest time
// that the request may take, 0 if it is not known. trackRequest returns ErrRefused if the
// gateway may stop before then.
func (g *Gateway) trackRequest(limit time.Duration) (leave func(), err error) {
	g.active.Add(1)
	if window := g.drainWindow.Load(); window != nil && !window.Accepts(time.Now(), limit) {
		g.active.Add(-1)
		return nil, newRefusal("the gateway is stopping")
	}
	return func() { g.active.Add(-1) }, nil
}

// errStopping is the cancellation cause of requests that are given up because the gateway
// stops.
var errStopping = protocol.Errors.NewType("stopping")

// untilStop returns a copy of ctx that is cancelled with errStopping when requests in flight
// are given up. The caller must call the returned function once the request has ended.
func (g *Gateway) untilStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unhook := context.AfterFunc(g.requests, func() { cancel(errStopping.New("the gateway stops")) })
	return ctx, func() {
		unhook()
		cancel(nil)
	}
}

// defaultRetryAfter is the delay after which a caller whose request was refused should
// retry: a slot becomes free within this time unless the overload lasts.
const defaultRetryAfter = 150 * time.Millisecond

// newRefusal returns an ErrRefused that asks the caller to retry after
// defaultRetryAfter.
func newRefusal(format string, args ...any) error {
	return fleet.WithRetryAfter(fleet.ErrRefused.New(format, args...), defaultRetryAfter)
}
