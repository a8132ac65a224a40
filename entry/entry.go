// Package entry is the role that callers and operators speak to. An entry
// checks, routes and retries requests, hands out batch items, and keeps only
// what it can rebuild from the log, so that any entry can take over any job.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"
	"k8s.io/klog/v2"

	"github.com/sycamoretally/sycamoretally/backend"
	"github.com/sycamoretally/sycamoretally/coordination/batch"
	"github.com/sycamoretally/sycamoretally/coordination/commit"
	"github.com/sycamoretally/sycamoretally/coordination/follow"
	"github.com/sycamoretally/sycamoretally/coordination/logcache"
	"github.com/sycamoretally/sycamoretally/coordination/membership"
	"github.com/sycamoretally/sycamoretally/coordination/quarantine"
	"github.com/sycamoretally/sycamoretally/coordination/quota"
	"github.com/sycamoretally/sycamoretally/coordination/routing"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/state"
	"github.com/sycamoretally/sycamoretally/timeline"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Platform is what the entry uses of the platform.
type Platform struct {
	Log       backend.Log
	Instances backend.InstanceList
	// Dial makes connections to peers; nil means the ordinary dialer.
	Dial transport.Dial
	// Now is the wall clock of the time line; nil means time.Now.
	Now func() time.Time
}

// stream bundles what an entry has for one stream of the log.
type stream struct {
	follower *follow.Follower
	writer   *commit.Writer
}

// Entry is one running entry.
type Entry struct {
	settings     *settings.Settings
	config       *state.ConfigFold
	requests     *state.Requests
	jobs         *state.Jobs
	quarantine   *state.Quarantine
	permits      *permits
	configStream stream
	workStream   stream
	// movedBodies locates the bodies of records of the work stream.
	movedBodies *state.Bodies
	// configMarks holds the marks of the configuration stream.
	configMarks *state.Bodies
	bodies      *logcache.Cache
	members     *membership.Manager
	peers       *transport.Peers
	attempts    *transport.AttemptClient
	leases      *leaseScheduler
	owners      batch.OwnerCache
	results     *resultAppender
	executions  *executions
	claims      *claims
	logEnd      *logEnd
	tasks       tasks
	ring        *timeline.Ring
	metrics     *metrics
	log         backend.Log
	callers     map[string]string
	policy      *policy
	quotas      *quota.Limiter

	tomb         tomb.Tomb
	server       *http.Server
	httpListener net.Listener
	peerListener net.Listener
	leaving      chan struct{}
}

// New builds an entry from its settings. It listens at once, so that a taken
// address is found here, and fails with settings.ErrSettings.
func New(s *settings.Settings, p Platform) (*Entry, error) {
	now := p.Now
	if now == nil {
		now = time.Now
	}
	ring := timeline.NewRing(s.Process.Instance, timeline.NewClock(now), timeline.DefaultRingSize)
	observe := func(clock uint64) { ring.Clock().Observe(clock) }
	e := &Entry{
		settings:    s,
		config:      state.NewConfigFold(),
		requests:    state.NewRequests(),
		jobs:        state.NewJobs(),
		quarantine:  state.NewQuarantine(),
		permits:     &permits{state: quarantine.NewPermits()},
		movedBodies: state.NewBodies(),
		configMarks: state.NewBodies(),
		peers:       transport.NewPeers(s.Process.PeerSecret),
		attempts:    transport.NewAttemptClient(s.Process.PeerSecret, observe),
		executions:  newExecutions(),
		claims:      newClaims(),
		logEnd:      &logEnd{log: p.Log, stream: protocol.StreamWork},
		ring:        ring,
		metrics:     newMetrics(),
		log:         p.Log,
		callers:     map[string]string{},
		policy:      newPolicy(s.Policy),
		quotas:      quota.New(time.Now),
		leaving:     make(chan struct{}),
	}
	if p.Dial != nil {
		e.peers.UseDial(p.Dial)
		e.attempts.UseDial(p.Dial)
	}
	e.metrics.registry.MustRegister(quarantineMetrics(e.quarantine)...)
	e.bodies = logcache.New(p.Log, protocol.StreamWork, logcache.DefaultBytes, e.movedBodies.Locate)
	for _, c := range s.Entry.Callers {
		e.callers[c.Key] = c.Workspace
	}
	e.configStream = e.newStream(p.Log, protocol.StreamConfig, e.config, state.NewLoads(e.config), e.configMarks)
	forget := state.ForgetFold{Requests: e.requests, Jobs: e.jobs}
	e.workStream = e.newStream(p.Log, protocol.StreamWork, e.requests, e.jobs, e.quarantine, e.movedBodies, forget, jobNotifier{e})
	e.members = membership.New(membership.Params{
		Self: s.Process.Instance, List: p.Instances, Reporter: transport.ReportClient{Peers: e.peers, Clock: ring.Clock()}, Services: e.serviceMatcher,
	})
	e.leases = newLeaseScheduler(batch.New(e.batchParams()))
	e.results = newResultAppender(e)
	var err error
	e.httpListener, e.peerListener, err = s.Process.Listen()
	return e, err
}

// logPollWait bounds one read of the log that waits for new entries. It is well
// below protocol.PullStaleness, so that a quiet log does not hold up batch work.
const logPollWait = protocol.PullStaleness / 4

func (e *Entry) newStream(log backend.Log, name string, folds ...follow.Fold) stream {
	observe := func(records, bytes int) {
		e.metrics.appends.WithLabelValues(name).Inc()
		e.metrics.appendedRecords.WithLabelValues(name).Add(float64(records))
		e.metrics.appendedBytes.WithLabelValues(name).Add(float64(bytes))
	}
	// First: what the other folds wake may record events at once.
	folds = append([]follow.Fold{timeline.ClockFold{Clock: e.ring.Clock()}}, folds...)
	follower := follow.New(follow.Params{Stream: name, Source: log, Peers: e.logFanout(name), PollWait: logPollWait}, folds...)
	e.metrics.registry.MustRegister(follower.Metrics()...)
	params := commit.Params{Stream: name, Log: log, Observe: observe}
	if name == protocol.StreamWork {
		params.Forward = e.gatherers(name).Forward
	}
	return stream{follower: follower, writer: commit.New(params)}
}

// Start runs the entry's goroutines.
func (e *Entry) Start() error {
	peers, err := transport.NewPeerServer(e.settings.Process.PeerSecret, protocol.PeerService, &peerAPI{e})
	if err != nil {
		return err
	}
	e.server = &http.Server{Handler: e.routes(), ReadHeaderTimeout: 5 * time.Second}
	ctx := e.context()
	e.tomb.Go(func() error { return e.configStream.follower.Run(ctx) })
	e.tomb.Go(func() error { return e.workStream.follower.Run(ctx) })
	e.tomb.Go(func() error { return e.configStream.writer.Run(ctx) })
	e.tomb.Go(func() error { return e.workStream.writer.Run(ctx) })
	e.tomb.Go(func() error { return e.members.Run(ctx) })
	e.tomb.Go(func() error { return peers.Serve(e.peerListener) })
	e.tomb.Go(func() error { return e.tasks.close(ctx) })
	e.tomb.Go(func() error { return e.runAdoption(ctx) })
	keepers := e.newMaintainers()
	e.tomb.Go(func() error { return e.runRetention(ctx, keepers) })
	e.tomb.Go(func() error { return e.appendElapsed(ctx) })
	e.tomb.Go(func() error { return e.results.run(ctx) })
	e.tomb.Go(func() error { return transport.ServeHTTP(e.server, e.httpListener) })
	klog.InfoS("entry started", "instance", e.settings.Process.Instance, "http", e.settings.Process.HTTP, "peer", e.settings.Process.Peer)
	return nil
}

// context ends when the entry stops.
func (e *Entry) context() context.Context {
	return e.tomb.Context(context.Background())
}

// Shutdown refuses new requests, waits for those in progress within the drain
// timeout, and stops. Sidecars reach the entry until then. What is left at the
// timeout is cut, and its callers get an error that says what is known.
func (e *Entry) Shutdown() error {
	close(e.leaving)
	e.ring.Add("", "leaving")
	klog.InfoS("entry leaving", "instance", e.settings.Process.Instance)
	if !e.drain(time.Duration(e.settings.Process.DrainTimeout)) {
		klog.InfoS("drain timeout", "instance", e.settings.Process.Instance)
		e.ring.Add("", "drain timeout")
		e.executions.cancelAll()
		e.drain(abortTimeout)
	}
	return e.Kill()
}

// abortTimeout bounds the telling of what a drain timeout cut; a non-idempotent
// call takes lateAnswerWait to settle.
const abortTimeout = lateAnswerTimeout + protocol.HeartbeatTimeout

// drain waits until no request is in progress. It reports whether that was so
// within the limit.
func (e *Entry) drain(limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	err := e.server.Shutdown(ctx)
	e.executions.wait(ctx)
	return err == nil && ctx.Err() == nil
}

// Kill stops at once and waits for the goroutines.
func (e *Entry) Kill() error {
	e.tomb.Kill(nil)
	e.executions.cancelAll()
	_ = e.server.Close()
	_ = e.peerListener.Close()
	e.peers.Close()
	e.attempts.Close()
	return e.tomb.Wait()
}

func (e *Entry) isLeaving() bool {
	select {
	case <-e.leaving:
		return true
	default:
		return false
	}
}

// ownsKey reports whether this entry owns the job or request with the key.
func (e *Entry) ownsKey(key string) bool {
	return routing.Owner(key, e.liveEntryNames()) == e.settings.Process.Instance
}

// liveEntryNames returns the names of the live entries in order.
func (e *Entry) liveEntryNames() []string {
	live := e.members.Entries()
	names := make([]string, 0, len(live))
	for _, i := range live {
		names = append(names, i.Name)
	}
	return names
}
