package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/standin/relay"
)

const (
	callerPort = 8144
	readyPort  = 8140
	targetPort = 8080
	// grace is the time between SIGTERM and SIGKILL.
	grace = 8 * time.Second
	// host is the host of all routes.
	host = "soak.example"
	// The services: targets of modelService stream and run items, those of callService
	// answer calls.
	modelService = "model"
	callService  = "calls"
	// streamEvents and itemEvents are the numbers of events in the answers.
	streamEvents = 20
	itemEvents   = 30
)

// layout is the size of a site.
type layout struct {
	gateways     int
	modelTargets int
	callTargets  int
	// eventTime is the time that an event of an item takes.
	eventTime time.Duration
	// keys holds the keys of the workspaces, nil if callers need none.
	keys *keyBook
}

// smallLayout is the layout of the sites of the seeds.
var smallLayout = layout{gateways: 3, modelTargets: 3, callTargets: 2, eventTime: 10 * time.Millisecond}

// daemon is a gateway or batcher process.
type daemon struct {
	name    string
	address string
	process *processtest.Process
	// store is the path to the store, and storeFaults the faults of its calls there.
	store       *relay.Relay
	storeFaults *storeFaults
	// claimed is set while a fault or planned work uses the process.
	claimed atomic.Bool
}

// place is an address at which targets run, one after another.
type place struct {
	name    string
	service string
	address string
	relay   *relay.Relay

	mu         sync.Mutex
	target     *platformtest.Target
	generation int
	faults     platformtest.Faults
}

// site is a system with its store, targets and processes.
type site struct {
	t            *testing.T
	size         layout
	store        *fleetstore.Store
	storeHandler http.Handler
	gateways     []*daemon
	batchers     []*daemon
	places       []*place
	journal      *platformtest.Journal
	faultLog     *faultLog
	registry     *registry
	routeChanges routeChanges
	// publishing serializes changes of the configuration; it guards version.
	publishing sync.Mutex
	version    int64
}

// subnets numbers the subnets that this process has tried, so that each site has its own
// addresses.
var subnets atomic.Int32

// reservedHost is the host of each subnet that its site keeps open against other processes.
const reservedHost = 254

// reserveSubnet returns the prefix of addresses that no other site uses until the test ends.
func reserveSubnet(t *testing.T) string {
	t.Helper()
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d.", 64+os.Getpid()%128, subnets.Add(1))
		l, err := net.Listen("tcp", fmt.Sprint(subnet, reservedHost, ":", callerPort))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return subnet
		}
	}
	t.Fatal("no free subnet")
	return ""
}

// newSite starts a site and waits until the gateways are ready.
func newSite(t *testing.T, binary string, size layout) *site {
	t.Helper()
	s := &site{t: t, size: size, store: fleetstore.New(), journal: &platformtest.Journal{}, faultLog: newFaultLog()}
	s.storeHandler = platformtest.StoreHandler(s.store)
	s.registry = newRegistry(s.store)
	t.Cleanup(s.registry.stop)
	subnet := reserveSubnet(t)
	assert.NilError(t, s.publish(t.Context(), modelService))
	for i := range size.modelTargets {
		s.addPlace(i, modelService, fmt.Sprint(subnet, 100+i))
	}
	for i := range size.callTargets {
		s.addPlace(size.modelTargets+i, callService, fmt.Sprint(subnet, 100+size.modelTargets+i))
	}
	dir := t.TempDir()
	for i := range size.gateways {
		address := fmt.Sprint(subnet, 1+i)
		node := platformtest.Node{
			Name: fmt.Sprint("gateway-", i), Address: address, Callers: fmt.Sprint(address, ":", callerPort), Ready: fmt.Sprint(address, ":", readyPort),
		}
		s.gateways = append(s.gateways, s.startDaemon(binary, dir, "gateway", node))
	}
	for i := range size.modelTargets {
		node := platformtest.Node{
			Name: fmt.Sprint("batcher-", i), Address: fmt.Sprint(subnet, 50+i), App: s.places[i].address, Service: modelService,
		}
		s.batchers = append(s.batchers, s.startDaemon(binary, dir, "batcher", node))
	}
	for _, g := range s.gateways {
		assert.NilError(t, awaitReady(g, 10*time.Second))
	}
	return s
}

// startStore serves the store through the faults over HTTP and returns its address.
func (s *site) startStore(faults *storeFaults) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	server := &http.Server{Handler: faults}
	go func() { _ = server.Serve(l) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startDaemon starts a gateway or batcher that reaches the store through a relay.
func (s *site) startDaemon(binary, dir, role string, node platformtest.Node) *daemon {
	s.t.Helper()
	faults := &storeFaults{store: s.storeHandler}
	r, err := relay.New(s.startStore(faults))
	assert.NilError(s.t, err)
	s.t.Cleanup(r.Close)
	node.Store, node.DataCentre, node.Grace = r.Address(), "dc", grace
	if s.size.keys != nil {
		node.Revocation = revocation
	}
	path := filepath.Join(dir, node.Name+".conf")
	assert.NilError(s.t, os.WriteFile(path, []byte(node.Settings()), 0o600))
	d := &daemon{name: node.Name, address: node.Address, store: r, storeFaults: faults}
	d.process = processtest.NewProcess(binary, []string{role}, []string{"SYCAMORETALLY_SETTINGS=" + path})
	assert.NilError(s.t, d.process.Start())
	s.t.Cleanup(func() {
		_ = d.process.Signal(syscall.SIGCONT)
		_ = d.process.Kill()
	})
	return d
}

// publish stores the next version of the configuration, in which the service moving
// serves the route "moving", and returns once the store has accepted it.
func (s *site) publish(ctx context.Context, moving string) error {
	route := func(name, prefix, kind, service string) platformtest.Route {
		return platformtest.Route{
			Name: name, Host: host, PathPrefix: prefix, Kind: kind, Service: service, TimeoutMS: 3000, LatencyMS: 300, Attempts: 3,
		}
	}
	resumable := route("resumable", "/r.20/", "streaming", modelService)
	resumable.Resume = true
	jobs := route("jobs", "/j.30/", "batch", modelService)
	jobs.TimeoutMS, jobs.DueMS, jobs.RetentionS = 0, 18_000, 60
	routes := []platformtest.Route{
		route("unsafe", "/u/", "unsafe", callService), route("safe", "/g/", "safe", callService),
		route("moving", "/m/", "safe", moving), route("stream", "/s.20/", "streaming", modelService), resumable, jobs,
	}
	model := platformtest.Service{Name: modelService, HealthPath: platformtest.HealthPath, Limit: 200}
	model.Engine.Slots = s.workOf(modelService).Slots
	calls := platformtest.Service{Name: callService, HealthPath: platformtest.HealthPath, Limit: 200}
	s.publishing.Lock()
	defer s.publishing.Unlock()
	s.version += 3
	services := []platformtest.Service{model, calls}
	return platformtest.PublishWorkspaces(ctx, s.store, s.version, routes, services, s.size.keys.workspaces())
}

// workOf returns the capacity of the targets of a service.
func (s *site) workOf(service string) platformtest.TargetParams {
	if service == modelService {
		return platformtest.TargetParams{Slots: 6, Queue: 4, EventTime: s.size.eventTime, CallTime: 5 * time.Millisecond}
	}
	return platformtest.TargetParams{Slots: 6, Queue: 8, CallTime: 15 * time.Millisecond}
}

// addPlace starts a relay and the first target at an address.
func (s *site) addPlace(i int, service, address string) {
	s.t.Helper()
	p := &place{name: fmt.Sprint("place-", i), service: service, address: fmt.Sprint(address, ":", targetPort)}
	var err error
	p.relay, err = relay.New(p.address)
	assert.NilError(s.t, err)
	s.t.Cleanup(p.relay.Close)
	s.places = append(s.places, p)
	assert.NilError(s.t, s.startTarget(p))
	s.t.Cleanup(func() { p.current().Crash() })
}

func (p *place) current() *platformtest.Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.target
}

func (p *place) setFaults(f platformtest.Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.target.SetFaults(f)
}

// startTarget starts the place's next target and registers it.
func (s *site) startTarget(p *place) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := fmt.Sprintf("%s-%d", p.name, p.generation)
	target, err := platformtest.NewTarget(id, p.service, p.address, s.workOf(p.service), s.journal)
	if err != nil {
		return err
	}
	p.generation++
	target.SetFaults(p.faults)
	p.target = target
	s.registry.put(target, p.relay.Address())
	return nil
}

// registry writes the entries of targets to the store and retries until it accepts
// them.
type registry struct {
	store  *fleetstore.Store
	queue  chan func(context.Context) error
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// left is when the store accepted that a target leaves or was removed.
	left map[string]time.Time
}

func newRegistry(store *fleetstore.Store) *registry {
	r := &registry{store: store, queue: make(chan func(context.Context) error, 1000), done: make(chan struct{}), left: map[string]time.Time{}}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	go r.run()
	return r
}

func (r *registry) stop() {
	r.cancel()
	<-r.done
}

func (r *registry) run() {
	defer close(r.done)
	for {
		select {
		case write := <-r.queue:
			for r.ctx.Err() == nil && write(r.ctx) != nil {
				time.Sleep(50 * time.Millisecond)
			}
		case <-r.ctx.Done():
			return
		}
	}
}

func (r *registry) put(t *platformtest.Target, address string) {
	born := time.Now().UnixMilli()
	r.queue <- func(ctx context.Context) error {
		err := platformtest.RegisterTarget(ctx, r.store, t, address, born)
		if err == nil && t.Draining() {
			r.recordLeft(t.ID)
		}
		return err
	}
}

func (r *registry) remove(id string) {
	r.queue <- func(ctx context.Context) error {
		err := platformtest.RemoveTarget(ctx, r.store, id)
		if err == nil {
			r.recordLeft(id)
		}
		return err
	}
}

func (r *registry) recordLeft(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left[id].IsZero() {
		r.left[id] = time.Now()
	}
}

// leftAt returns the time at which the store accepted that the target leaves.
func (r *registry) leftAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, found := r.left[id]
	return at, found
}

// ready reports whether the gateway reports itself as ready for callers.
func ready(d *daemon) bool {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprint("http://", d.address, ":", readyPort, "/"))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(d *daemon, limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(30 * time.Millisecond) {
		if ready(d) {
			return nil
		}
	}
	return fleet.ErrStoreUnavailable.New("%s is not ready after %v: %s", d.name, limit, tailOf(d.process.Log()))
}

// tailOf returns the last lines of a log.
func tailOf(log string) string {
	const bytes = 3000
	return log[max(0, len(log)-bytes):]
}

// pick returns a random element of the list.
func pick[T any](rng *rand.Rand, list []T) T { return list[rng.IntN(len(list))] }
