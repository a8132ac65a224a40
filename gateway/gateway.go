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
	// readInterval is the time between two reads of a topic. Targets leave and
	// configurations come into force within two seconds.
	readInterval = 400 * time.Millisecond
	// housekeepingInterval is the time between two sweeps of what has grown old.
	housekeepingInterval = 100 * time.Millisecond
	// noticeTime is how long the platform may go on sending new connections to a
	// gateway that says it is not ready.
	noticeTime = 3 * time.Second
	// stopMargin is how long before the end of its grace time a gateway stops.
	stopMargin = 700 * time.Millisecond
	// stopPoll is the time between two looks at whether all requests have ended.
	stopPoll = 50 * time.Millisecond
)

// Params are what a gateway works with.
type Params struct {
	Node    *fleet.Node
	Store   fleet.Store
	Sender  fleet.Sender
	Decoder registry.Decoder
	// Asker asks batchers for the loads of targets; nil where there are none.
	Asker LoadAsker
	// Sweep closes connections that have been idle for too long.
	Sweep func()
	// Registry takes the metrics; nil stands for one of its own.
	Registry *prometheus.Registry
}

// Gateway serves callers.
type Gateway struct {
	params Params
	// node holds the settings in force.
	node    atomic.Pointer[fleet.Node]
	configs *registry.Configurations
	targets *registry.Targets
	table   *balancing.Balancer
	silent  silentServices
	metrics *metrics

	configTail *topic.Follower
	targetTail *topic.Follower
	workTail   *topic.Follower

	jobsMu sync.RWMutex
	fold   *worklog.Fold
	// changed is closed and replaced whenever the fold changes.
	changed chan struct{}
	writer  *worklog.Writer
	texts   *texts
	crashes *crashes

	active  atomic.Int64
	closing atomic.Bool
	// late is set once callers have had the time to notice that it closes.
	late atomic.Bool
	// ctx ends when the tomb is dying.
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
		texts:   newTexts(p.Store),
		crashes: newCrashes(),
		changed: make(chan struct{}),
		writer:  worklog.NewProcessWriter(p.Node.Name),
	}
	g.node.Store(p.Node)
	g.tomb, g.ctx = tomb.WithContext(context.Background())
	g.configTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicConfiguration, Name: "configuration", Interval: readInterval,
		Reset: g.configs.Apply, Apply: g.configs.Apply,
	})
	g.targetTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicTargets, Name: "targets", Interval: readInterval,
		Reset: g.targets.Reset, Apply: g.targets.Apply, OnRecovered: g.targets.StoreRecovered,
	})
	g.workTail = topic.New(topic.Params{
		Store: p.Store, Topic: fleet.TopicWork, Name: "work", Interval: readInterval,
		Reset: g.resetJobs, Apply: g.applyJobs,
	})
	g.registerState()
	return g
}

// Reload puts settings into force that may change while the gateway runs: the grace
// time, how long results are kept and the size of a record.
func (g *Gateway) Reload(node *fleet.Node) { g.node.Store(node) }

// Start begins to follow the store.
func (g *Gateway) Start() {
	for _, f := range []*topic.Follower{g.configTail, g.targetTail, g.workTail} {
		g.tomb.Go(func() error { return f.Run(g.ctx) })
	}
	g.tomb.Go(g.keepHouse)
	g.tomb.Go(g.forgetOld)
	klog.InfoS("gateway started", "instance", g.params.Node.Name, "data_centre", g.params.Node.DataCentre, "writer", g.writer.Name())
}

func (g *Gateway) keepHouse() error {
	ctx := g.ctx
	for ctx.Err() == nil {
		pause.For(ctx, housekeepingInterval)
		g.targets.RemoveExpired()
		g.table.ForgetIdle()
		g.judgeBreaks()
		if g.params.Sweep != nil {
			g.params.Sweep()
		}
	}
	return nil
}

// Ready reports whether callers may connect. A gateway that is cut from the store
// sends them to others: it takes no jobs, and learns of no target or configuration.
// Where no gateway reaches the store, the platform goes on using all.
func (g *Gateway) Ready() bool {
	return !g.closing.Load() && !g.unread(maxCutOff) && g.configs.Current() != nil && len(g.targets.Current().Services) > 0
}

// Closing implements fleet.Callers.
func (g *Gateway) Closing() bool { return g.closing.Load() }

// Drain stops being ready and lets requests end. While callers notice it takes
// more; after that it refuses them, since callers may come for as long as too few
// other gateways are ready. It returns once none runs or the grace time is nearly
// over.
func (g *Gateway) Drain() {
	klog.InfoS("gateway draining", "requests", g.active.Load())
	g.closing.Store(true)
	begun := time.Now()
	last := begun.Add(g.node.Load().Grace - stopMargin)
	for time.Now().Before(last) {
		pause.For(context.Background(), stopPoll)
		g.late.Store(time.Since(begun) > noticeTime)
		if g.active.Load() == 0 && g.late.Load() {
			break
		}
	}
	klog.InfoS("gateway drained", "requests", g.active.Load(), "after", time.Since(begun))
}

// Stop ends following the store.
func (g *Gateway) Stop() error {
	g.late.Store(true)
	g.tomb.Kill(nil)
	err := g.tomb.Wait()
	klog.InfoS("gateway stopped", "instance", g.params.Node.Name)
	return err
}

// Limits implements fleet.Callers.
func (g *Gateway) Limits() fleet.Limits {
	if c := g.configs.Current(); c != nil {
		return c.Limits
	}
	return fleet.Limits{}
}

// Match implements fleet.Callers.
func (g *Gateway) Match(host, path string) (*fleet.Route, error) {
	c := g.configs.Current()
	if c == nil {
		return nil, refuse("no configuration is known yet")
	}
	route := c.Match(host, path)
	if route == nil {
		g.metrics.requests.WithLabelValues("none", "no_route").Inc()
		return nil, fleet.ErrNoRoute.New("no route in version %d", c.Version)
	}
	return route, nil
}

// TakesJobs implements fleet.Callers.
func (g *Gateway) TakesJobs(host string) bool {
	c := g.configs.Current()
	return c != nil && c.HasBatch(host)
}

// enter counts a request until leave is called. It fails with ErrRefused where the
// gateway is about to stop.
func (g *Gateway) enter() (leave func(), err error) {
	g.active.Add(1)
	if g.late.Load() {
		g.active.Add(-1)
		return nil, refuse("the gateway stops")
	}
	return func() { g.active.Add(-1) }, nil
}

// retryAfter is when a caller whose request was refused should come back: a slot
// comes free within this time unless the overload lasts.
const retryAfter = 150 * time.Millisecond

func refuse(format string, args ...any) error {
	return fleet.RetryAfter(fleet.ErrRefused.New(format, args...), retryAfter)
}
