// Package sidecar implements the role that runs next to the targets of an instance. All
// calls to these targets go through the sidecar. It manages their slots, runs each
// non-idempotent call at most once, pulls batch items into spare slots, loads models, and
// refuses new work before it shuts down.
package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/timeline"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Platform holds the parts of the platform that the sidecar uses.
type Platform struct {
	Log       backend.Log
	Instances backend.InstanceList
	// Dial makes connections to peers; nil means the default dialer.
	Dial transport.Dial
	// Now is the wall clock of the time line; nil means time.Now.
	Now func() time.Time
}

// Sidecar is one running sidecar.
type Sidecar struct {
	settings *settings.Settings
	config   *state.ConfigFold
	loads    *state.Loads
	follower *follow.Follower
	members  *membership.Manager
	peers    *transport.Peers
	// batchEntries carries batch items, waiting pulls and results over separate
	// connections, so that neither their size nor their timeouts affect other calls.
	batchEntries *entryClient
	entries      *entryClient
	outbox       *outbox
	runners      map[string]*runner
	ring         *timeline.Ring
	metrics      *metrics

	tomb         tomb.Tomb
	http         *http.Server
	httpListener net.Listener
	peerListener net.Listener
	stopPull     context.CancelFunc
	pullCtx      context.Context
	// pullers counts the running pullers, and unreturnedItems the batch items that no
	// entry has taken back yet.
	pullers         sync.WaitGroup
	unreturnedItems sync.WaitGroup
}

// New creates a sidecar from its settings. It opens the listeners, so that an address in
// use is reported here. It fails with settings.ErrSettings.
func New(s *settings.Settings, p Platform) (*Sidecar, error) {
	now := p.Now
	if now == nil {
		now = time.Now
	}
	ring := timeline.NewRing(s.Process.Instance, timeline.NewClock(now), timeline.DefaultRingSize)
	sc := &Sidecar{
		settings: s,
		config:   state.NewConfigFold(),
		peers:    transport.NewPeers(s.Process.PeerSecret),
		runners:  map[string]*runner{},
		ring:     ring,
		metrics:  newMetrics(),
	}
	batchPeers := transport.NewPeers(s.Process.PeerSecret)
	if p.Dial != nil {
		sc.peers.UseDial(p.Dial)
		batchPeers.UseDial(p.Dial)
	}
	for _, t := range s.Targets {
		r := newRunner(t, s.Policy, ring.Add)
		r.crashDetector = sc.newCrashDetector(r)
		sc.runners[t.Name] = r
	}
	sc.metrics.registry.MustRegister(&slotCollector{sidecar: sc})
	sc.loads = state.NewLoads(sc.config)
	group := &follow.Fanout{
		Self: s.Process.Instance, DataCentre: s.Process.DataCentre, Stream: protocol.StreamConfig,
		Instances: sc.instances, Follows: func(backend.Instance) bool { return true }, Call: sc.peers.ReadLog,
	}
	sc.follower = follow.New(follow.Params{Stream: protocol.StreamConfig, Source: p.Log, Peers: group}, timeline.ClockFold{Clock: ring.Clock()}, sc.config, sc.loads, drainedMarker{sc})
	sc.metrics.registry.MustRegister(sc.follower.Metrics()...)
	sc.members = membership.New(membership.Params{
		Self:          s.Process.Instance,
		List:          p.Instances,
		Reporter:      transport.ReportClient{Peers: sc.peers, Clock: ring.Clock()},
		PollsRole:     func(role backend.Role) bool { return role == backend.RoleEntry },
		EntryPollRate: entryPollRate,
	})
	for _, r := range sc.runners {
		r.listedLeaving = sc.members.ListedLeaving
	}
	sc.entries = &entryClient{members: sc.members, peers: sc.peers}
	sc.batchEntries = &entryClient{members: sc.members, peers: batchPeers}
	sc.outbox = newOutbox(func(ctx context.Context, records []protocol.Record) error { return sc.appendRecords(ctx, "", records) })
	sc.metrics.registry.MustRegister(newOutboxGauge(sc.outbox), newRefusedCounter(sc.outbox))
	sc.pullCtx, sc.stopPull = context.WithCancel(context.Background())
	var err error
	sc.httpListener, sc.peerListener, err = s.Process.Listen()
	return sc, err
}

// Start starts the sidecar's goroutines.
func (s *Sidecar) Start() error {
	server, err := transport.NewPeerServer(s.settings.Process.PeerSecret, protocol.PeerService, &peerAPI{s})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle("POST "+transport.AttemptPath, transport.RequireSecret(s.settings.Process.PeerSecret, http.HandlerFunc(s.serveAttempt)))
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.metrics.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", s.serveReady)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	ctx := s.tomb.Context(context.Background())
	s.tomb.Go(func() error { return s.follower.Run(ctx) })
	s.tomb.Go(func() error { return s.members.Run(ctx) })
	s.tomb.Go(func() error { return s.outbox.run(ctx) })
	s.tomb.Go(func() error { return server.Serve(s.peerListener) })
	s.tomb.Go(func() error { return transport.ServeHTTP(s.http, s.httpListener) })
	for _, r := range s.runners {
		s.tomb.Go(func() error { return r.watch(ctx) })
		if r.target.Type == settings.TargetEngine {
			s.pullers.Add(1)
			s.tomb.Go(func() error {
				defer s.pullers.Done()
				return s.runPuller(ctx, r)
			})
			s.tomb.Go(func() error { return s.newModelLoader(r).run(ctx) })
		}
	}
	klog.InfoS("sidecar started", "instance", s.settings.Process.Instance, "http", s.settings.Process.HTTP, "peer", s.settings.Process.Peer, "targets", len(s.runners))
	return nil
}

// Shutdown refuses new work, waits for the work in progress up to the drain timeout, and
// stops. Work that has not ended by then is cancelled: batch items are returned with the
// text generated so far, and other attempts end with an error that says so.
func (s *Sidecar) Shutdown() error {
	s.ring.Add("", "leaving")
	klog.InfoS("sidecar leaving", "instance", s.settings.Process.Instance)
	s.stopPull()
	for _, r := range s.runners {
		r.setLeaving()
	}
	if !s.drain(time.Duration(s.settings.Process.DrainTimeout)) {
		klog.InfoS("drain timeout", "instance", s.settings.Process.Instance)
		s.ring.Add("", "drain timeout")
		s.cancelRemaining()
	}
	return s.Kill()
}

// cancelTimeout bounds the time to return the work that was cancelled after the drain
// timeout.
const cancelTimeout = protocol.HeartbeatTimeout

// cancelRemaining cancels all attempts and waits until they are returned, up to
// cancelTimeout.
func (s *Sidecar) cancelRemaining() {
	for _, r := range s.runners {
		r.cancelAll(errPreempted.New("the sidecar is shutting down"))
	}
	s.drain(cancelTimeout)
}

// drain waits until all responses are sent, all items are returned and all records are
// stored. It reports whether that was done within the timeout.
func (s *Sidecar) drain(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		return false
	}
	idle := make(chan struct{})
	go func() {
		s.pullers.Wait() // no item is started after this
		s.unreturnedItems.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-ctx.Done():
		return false
	}
	s.outbox.awaitEmpty(ctx)
	return ctx.Err() == nil
}

func (s *Sidecar) isLeaving() bool { return s.pullCtx.Err() != nil }

// Kill stops the sidecar at once and waits for its goroutines.
func (s *Sidecar) Kill() error {
	s.stopPull()
	s.tomb.Kill(nil)
	_ = s.http.Close()
	_ = s.peerListener.Close()
	s.peers.Close()
	for _, r := range s.runners {
		r.engine.Close()
	}
	s.batchEntries.peers.Close()
	return s.tomb.Wait()
}

// Metrics returns the sidecar's metrics registry.
func (s *Sidecar) Metrics() *prometheus.Registry { return s.metrics.registry }

func (s *Sidecar) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.follower.CheckAge(time.Duration(s.settings.Process.MaxAge)); err != nil {
		transport.WriteProblem(w, err, "")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// drainedMarker updates whether targets are drained after each configuration change.
type drainedMarker struct{ sidecar *Sidecar }

// Apply implements follow.Fold.
func (d drainedMarker) Apply(protocol.Position, *protocol.Record) { d.Restored() }

// Restored implements follow.Restored.
func (d drainedMarker) Restored() {
	config := d.sidecar.config.Current()
	for _, r := range d.sidecar.runners {
		r.setDrained(config.Drained(config.Labels(r.target.Labels)))
	}
}

// instances returns the processes that the platform lists.
func (s *Sidecar) instances() []backend.Instance { return s.members.Instances() }

// Config returns the configuration in force.
func (s *Sidecar) Config() *state.Config { return s.config.Current() }

// Address returns the address on which the sidecar accepts attempts.
func (s *Sidecar) Address() string { return s.httpListener.Addr().String() }
