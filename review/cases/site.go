package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

const (
	binary = "target/sycamoretally"
	// The ports of each machine; every machine has a loopback address of its own.
	callerPort  = 8144
	readyPort   = 8140
	storePort   = 8142
	targetPort  = 8147
	metricsPort = 9464
	// grace is the grace period of a process in its settings.
	grace = 8 * time.Second
	// storeDelay is the time that the store takes to answer a call.
	storeDelay = 4 * time.Millisecond
	// heartbeat is the time between two writes of a target to the registry.
	heartbeat = 1200 * time.Millisecond
	// maxStartGap bounds the time between the starts of two machines.
	maxStartGap = 100 * time.Millisecond
	// minLateness and maxLateness bound the delay of a write that gets no answer.
	minLateness = time.Second
	maxLateness = 6 * time.Second
	// settle is the time after the last start within which all processes must be ready.
	settle = 15 * time.Second
)

var errCase = errors.New("case")

// site is a small deployment: processes, targets and the platform's store.
type site struct {
	rec     *record
	dir     string
	network string
	store   *fleetstore.Store
	journal *platformtest.Journal
	caller  *http.Client

	// lostPercent is the share of the writes to the store that get no answer.
	lostPercent atomic.Int64

	gateways []*machine
	batchers []*machine

	mu       sync.Mutex
	machines int
	targets  map[string]*target
	version  int64
	servers  []*http.Server
	closing  chan struct{}
	once     sync.Once
}

// machine is a machine with one process of the system.
type machine struct {
	name    string
	address string
	cmd     *exec.Cmd
	// turnedAway is set while the store gives this machine's calls no answer.
	turnedAway atomic.Bool
}

// target is a registered target.
type target struct {
	*platformtest.Target
	born  int64
	alive atomic.Bool
}

func newSite(rec *record) (*site, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("%w: the system is not built: %w", errCase, err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: rec, dir: dir, store: fleetstore.New(), journal: &platformtest.Journal{}, targets: map[string]*target{}, closing: make(chan struct{}),
		caller: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.network = fmt.Sprintf("127.%d.%d", 50+rand.N(150), 1+rand.N(250))
	s.setStore(false)
	go s.sendHeartbeats()
	return s, nil
}

// stop ends all processes that the case started and removes its folder.
func (s *site) stop() {
	s.once.Do(func() {
		close(s.closing)
		for _, m := range append(append([]*machine(nil), s.gateways...), s.batchers...) {
			if m.cmd != nil && m.cmd.Process != nil {
				_ = m.cmd.Process.Kill()
				_ = m.cmd.Wait()
			}
		}
		for _, server := range s.servers {
			_ = server.Close()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(s.dir)
		} else {
			fmt.Println("logs:", s.dir)
		}
	})
}

// setStore sets whether the store is down: it then answers each call with 503.
func (s *site) setStore(down bool) {
	s.store.SetFaults(fleetstore.Faults{Down: down, Delay: storeDelay})
}

func (s *site) newAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machines++
	return fmt.Sprintf("%s.%d", s.network, s.machines)
}

func at(address string, port int) string { return fmt.Sprintf("%s:%d", address, port) }

// startStore serves the store to one machine at an address of its own.
func (s *site) startStore(m *machine) error {
	l, err := net.Listen("tcp", at(m.address, storePort))
	if err != nil {
		return err
	}
	handler := platformtest.StoreHandler(s.store)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case m.turnedAway.Load():
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case r.Method == http.MethodPost && rand.Float64() < s.lostShare():
			s.loseAppend(handler, r)
		default:
			handler.ServeHTTP(w, r)
		}
	})}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// lostShare returns the share of the writes that get no answer at the moment.
func (s *site) lostShare() float64 { return float64(s.lostPercent.Load()) / 100 }

// loseAppend carries out a write 1 to 6 s later, if its condition still holds then, and
// sends nothing on its connection until the other end closes it.
func (s *site) loseAppend(store http.Handler, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	delay := minLateness + rand.N(maxLateness-minLateness)
	time.AfterFunc(delay, func() { store.ServeHTTP(httptest.NewRecorder(), late) })
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// startMachine starts a process of the system with the command of the deploy file.
func (s *site) startMachine(role string, node platformtest.Node) (*machine, error) {
	m := &machine{name: node.Name, address: node.Address}
	if err := s.startStore(m); err != nil {
		return nil, err
	}
	node.Store, node.DataCentre, node.Grace = at(m.address, storePort), "z", grace
	path := filepath.Join(s.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(node.Settings()), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(s.dir, m.name+".log"))
	if err != nil {
		return nil, err
	}
	m.cmd = exec.Command(binary, role)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SYCAMORETALLY_SETTINGS=" + path}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	time.Sleep(rand.N(maxStartGap))
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return m, m.cmd.Start()
}

// startGateways starts n gateways.
func (s *site) startGateways(n int) error {
	for i := range n {
		address := s.newAddress()
		m, err := s.startMachine("gateway", platformtest.Node{
			Name: fmt.Sprint("front-", i), Address: address, Callers: at(address, callerPort), Ready: at(address, readyPort),
		})
		if err != nil {
			return err
		}
		s.gateways = append(s.gateways, m)
	}
	return nil
}

// startWorkers starts n targets of the service, each with a batcher beside it.
func (s *site) startWorkers(n int, service string, work platformtest.TargetParams) error {
	for i := range n {
		name := fmt.Sprintf("%s-%d", service, i)
		address := s.newAddress()
		if err := s.startTarget("i-"+name, service, at(address, targetPort), work); err != nil {
			return err
		}
		m, err := s.startMachine("batcher", platformtest.Node{
			Name: "side-" + name, Address: address, App: at(address, targetPort), Service: service,
		})
		if err != nil {
			return err
		}
		s.batchers = append(s.batchers, m)
	}
	return nil
}

// startTarget starts a target and registers it.
func (s *site) startTarget(id, service, address string, work platformtest.TargetParams) error {
	t, err := platformtest.NewTarget(id, service, address, work, s.journal)
	if err != nil {
		return err
	}
	s.register(id, t)
	s.rec.note("target %s of service %s starts at %s", id, service, address)
	return nil
}

func (s *site) register(id string, t *platformtest.Target) {
	added := &target{Target: t, born: time.Now().UnixMilli()}
	added.alive.Store(true)
	s.mu.Lock()
	s.targets[id] = added
	s.mu.Unlock()
}

// registerAddress writes one entry to the registry, for a target that is no
// platformtest.Target. No gateway uses its age.
func (s *site) registerAddress(id, service, address string) error {
	value, err := json.Marshal(map[string]any{
		"service": service, "address": address, "zone": "z", "version": 1, "slots": slots, "state": "ready", "born": time.Now().UnixMilli(), "sequence": 1,
	})
	if err != nil {
		return err
	}
	_, err = s.store.Append(context.Background(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: id, Value: value}})
	return err
}

// sendHeartbeats writes the targets' entries to the registry.
func (s *site) sendHeartbeats() {
	for first := true; ; first = false {
		wait := heartbeat
		if first {
			wait = heartbeat / 4
		}
		select {
		case <-s.closing:
			return
		case <-time.After(wait):
		}
		s.mu.Lock()
		var alive []*target
		for _, t := range s.targets {
			if t.alive.Load() {
				alive = append(alive, t)
			}
		}
		s.mu.Unlock()
		for _, t := range alive {
			_ = platformtest.RegisterTarget(context.Background(), s.store, t.Target, t.Address(), t.born)
		}
	}
}

// publish writes a version of the configuration, as the operator does.
func (s *site) publish(routes []platformtest.Route, services ...string) error {
	s.version += 3
	var list []platformtest.Service
	for _, name := range services {
		service := platformtest.Service{Name: name, HealthPath: platformtest.HealthPath, Limit: 360}
		service.Engine.Slots = slots
		list = append(list, service)
	}
	if err := platformtest.PublishConfiguration(context.Background(), s.store, s.version, routes, list); err != nil {
		return err
	}
	s.rec.note("operator: version %d with %d routes acknowledged", s.version, len(routes))
	return nil
}

// slots is the number of requests that a target runs at the same time.
const slots = 8

// awaitReady waits until all gateways are ready and have targets and the batchers had time
// to start.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(settle)
	for _, g := range s.gateways {
		for !s.isReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: gateway %s is not ready", errCase, g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	s.rec.note("all gateways are ready")
	return nil
}

func (s *site) isReady(g *machine) bool {
	resp, err := s.caller.Get("http://" + at(g.address, readyPort) + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// route returns a batch route.
func batchRoute(name, host, prefix, service string) platformtest.Route {
	return platformtest.Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: "batch", Service: service, LatencyMS: 400, Attempts: attempts, DueMS: 18000, RetentionS: 300,
	}
}

// attempts is the number of failures after which an item may be given up.
const attempts = 3
