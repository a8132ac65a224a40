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
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/coordination/topic"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	// readInterval is the time between two reads of a topic. It must let departures of
	// targets and new configurations take effect within two seconds.
	readInterval = 400 * time.Millisecond
	// housekeepingInterval is the time between two runs of the housekeeping.
	housekeepingInterval = 100 * time.Millisecond
	// drainNoticeTime is how long the platform may go on sending new connections to a
	// gateway that is no longer ready.
	drainNoticeTime = 3 * time.Second
	// stopMargin is how long before the end of its grace period a gateway stops.
	stopMargin = 700 * time.Millisecond
	// drainPollInterval is the time between two checks whether all requests have ended.
	drainPollInterval = 50 * time.Millisecond
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
	// IsConnected reports whether an idle connection to the address can be used. It is nil
	// if connections are not kept.
	IsConnected func(address string) bool
	// HasEnded reports whether the process at the address is known to have ended. If nil,
	// only the registry shows that.
	HasEnded func(ctx context.Context, address string) bool
	// Sweep closes connections that have been idle for too long.
	Sweep func()
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
	metrics      *metrics

	configTail *topic.Follower
	targetTail *topic.Follower
	workTail   *topic.Follower

	// jobsMu guards fold and changed.
	jobsMu sync.RWMutex
	fold   *worklog.Fold
	// changed is closed and replaced whenever the fold changes.
	changed chan struct{}
	writer  *worklog.Writer
	texts   *textReader
	crashes *crashTracker

	active  atomic.Int64
	closing atomic.Bool
	// refusing is set once callers have had time to notice that the gateway is closing.
	// New requests are then refused.
	refusing atomic.Bool
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
		metrics: newMetrics(p.Registry),
		fold:    worklog.NewFold(),
		texts:   newTextReader(p.Store),
		crashes: newCrashTracker(),
		changed: make(chan struct{}),
		writer:  worklog.NewProcessWriter(p.Node.Name),
	}
	g.node.Store(p.Node)
	g.tomb, g.ctx = tomb.WithContext(context.Background())
	g.configTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicConfiguration, Name: "configuration", Interval: readInterval,
		Reset: g.configs.Apply, Apply: g.configs.Apply, StoreAnswers: func() bool { return g.targetTail.Answers() },
	})
	g.targetTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicTargets, Name: "targets", Interval: readInterval,
		Reset: g.targets.Reset, Apply: g.targets.Apply, OnRecovered: g.targets.StoreRecovered,
	})
	g.workTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicWork, Name: "work", Interval: readInterval,
		Reset: g.resetJobs, Apply: g.applyJobs,
	})
	g.registerGauges()
	return g
}

// Reload puts into force the settings that may change while the gateway runs: the grace
// period, the retention of results and the maximum size of a record.
func (g *Gateway) Reload(node *fleet.Node) { g.node.Store(node) }

// Start begins to follow the topics of the store and starts the background tasks.
func (g *Gateway) Start() {
	g.tomb.Go(func() error { return g.configTail.Run(g.ctx) })
	g.tomb.Go(func() error { return g.targetTail.Run(g.ctx) })
	g.tomb.Go(func() error { return g.workTail.RunAfter(g.ctx, g.configTail, g.targetTail) })
	g.tomb.Go(g.runHousekeeping)
	g.tomb.Go(g.compactClosed)
	g.tomb.Go(g.deleteExpired)
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
		g.detectCrashes()
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
	return !g.closing.Load() && !g.isWorkLogStale(maxStoreSilence) && g.configs.Current() != nil && len(g.targets.Current().Services) > 0
}

// IsClosing implements fleet.CallerAPI.
func (g *Gateway) IsClosing() bool { return g.closing.Load() }

// Drain makes the gateway unready and waits for requests in flight to end. New requests
// are still served for drainNoticeTime, until callers have noticed. Then they are
// refused, since callers keep coming for as long as too few other gateways are ready.
// Drain returns once no request is in flight or the grace period is nearly over.
func (g *Gateway) Drain() {
	klog.InfoS("gateway draining", "requests", g.active.Load())
	g.closing.Store(true)
	begun := time.Now()
	deadline := begun.Add(g.node.Load().GracePeriod - stopMargin)
	for time.Now().Before(deadline) {
		pause.For(context.Background(), drainPollInterval)
		g.refusing.Store(time.Since(begun) > drainNoticeTime)
		if g.active.Load() == 0 && g.refusing.Load() {
			break
		}
	}
	klog.InfoS("gateway drained", "requests", g.active.Load(), "after", time.Since(begun))
}

// Stop stops following the store and waits for the background tasks to end.
func (g *Gateway) Stop() error {
	g.refusing.Store(true)
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
func (g *Gateway) Match(host, path string) (*fleet.Route, error) {
	c := g.configs.Current()
	if c == nil {
		return nil, newRefusal("no configuration has been read yet")
	}
	route := c.Match(host, path)
	if route == nil && g.isConfigurationStale() {
		return nil, newRefusal("no matching route in configuration version %d, which may be outdated", c.Version)
	}
	if route == nil {
		g.metrics.requests.WithLabelValues("none", "no_route").Inc()
		return nil, fleet.ErrNoRoute.New("no matching route in configuration version %d", c.Version)
	}
	return route, nil
}

// trackRequest counts a request as active until leave is called. It returns ErrRefused
// if the gateway is about to stop.
func (g *Gateway) trackRequest() (leave func(), err error) {
	g.active.Add(1)
	if g.refusing.Load() {
		g.active.Add(-1)
		return nil, newRefusal("the gateway is stopping")
	}
	return func() { g.active.Add(-1) }, nil
}

// defaultRetryAfter is the delay after which a caller whose request was refused should
// retry: a slot becomes free within this time unless the overload lasts.
const defaultRetryAfter = 150 * time.Millisecond

// newRefusal returns an ErrRefused that asks the caller to retry after
// defaultRetryAfter.
func newRefusal(format string, args ...any) error {
	return fleet.WithRetryAfter(fleet.ErrRefused.New(format, args...), defaultRetryAfter)
}
