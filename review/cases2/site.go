package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

const (
	// The ports are the same on all machines of a site, as on the platform.
	frontPort  = 8144
	readyPort  = 8140
	workerPort = 8080
	// heartbeat is the time between two writes of a worker's registry entry.
	heartbeat = 1200 * time.Millisecond
	// bootTimeout is how long the gateways may take until they are ready.
	bootTimeout = 15 * time.Second

	siteHost   = "ficu95.example"
	model      = "notskrivare"
	batchRoute = "/pule252/"
	// streamRoute leads to the service model, otherRoute to the service other.
	streamRoute = "/lohu930/"
	otherRoute  = "/gono990/"
	other       = "provspel"

	firstVersion = 7
)

// site is a small deployment on loopback addresses.
type site struct {
	record   *record
	dir      string
	prefix   string
	store    *fleetstore.Store
	storeURL string
	daemons  map[string]*daemon
	gateways []string
	workers  []*worker
	reserved net.Listener
	cancel   context.CancelFunc
}

// daemon is a process of the system with its settings.
type daemon struct {
	process  *exec.Cmd
	node     platformtest.Node
	settings string
}

// newSite starts the store, the workers with their batchers, and the gateways.
func newSite(rec *record, gateways, workers, slots int, eventTime time.Duration) (*site, error) {
	s := &site{record: rec, store: fleetstore.New(), daemons: map[string]*daemon{}}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return s, err
	}
	s.dir = dir
	if err := s.reserve(); err != nil {
		return s, err
	}
	store, err := serve("127.0.0.1:0", platformtest.StoreHandler(s.store))
	if err != nil {
		return s, err
	}
	s.storeURL = store.Addr
	if err := s.publish(firstVersion, slots); err != nil {
		return s, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i := range workers {
		address := fmt.Sprint(s.prefix, 100+i)
		w, err := s.addWorker(fmt.Sprintf("i-%08x", 0x7f3a91c0+i), model, address, slots, eventTime)
		if err != nil {
			return s, err
		}
		go s.register(ctx, w)
		if err := s.start("batcher", platformtest.Node{Name: fmt.Sprint("side-", i+1), Address: address, App: w.address, Service: model}); err != nil {
			return s, err
		}
	}
	for i := range gateways {
		address := fmt.Sprint(s.prefix, 1+i)
		node := platformtest.Node{Name: fmt.Sprint("front-", i+1), Address: address, Callers: fmt.Sprint(address, ":", frontPort), Ready: fmt.Sprint(address, ":", readyPort)}
		if err := s.start("gateway", node); err != nil {
			return s, err
		}
		s.gateways = append(s.gateways, address)
	}
	return s, s.awaitReady()
}

// reserve finds a prefix of loopback addresses that no other site uses.
func (s *site) reserve() error {
	for n := range 200 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%40, (os.Getpid()/40+n)%250)
		l, err := net.Listen("tcp", fmt.Sprint(prefix, "254:", frontPort))
		if err != nil {
			continue
		}
		s.prefix, s.reserved = prefix, l
		return nil
	}
	return fmt.Errorf("no free loopback addresses")
}

// addWorker starts a worker at the address.
func (s *site) addWorker(id, service, address string, slots int, eventTime time.Duration) (*worker, error) {
	w := &worker{id: id, service: service, record: s.record, eventTime: eventTime, slots: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	server, err := serve(fmt.Sprint(address, ":", workerPort), w)
	if err != nil {
		return nil, err
	}
	w.server, w.address = server, server.Addr
	s.workers = append(s.workers, w)
	s.record.write("worker %s of service %s starts at %s", id, service, w.address)
	return w, nil
}

// serve serves the handler at the address.
func serve(address string, h http.Handler) (*http.Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Addr: l.Addr().String(), Handler: h}
	go func() { _ = server.Serve(l) }()
	return server, nil
}

// publish writes a version of the operator's configuration: two services of model workers with a
// streaming route each, a route for batch jobs, and the routes that are added.
func (s *site) publish(version int64, slots int, added ...platformtest.Route) error {
	var services []platformtest.Service
	for _, name := range []string{model, other} {
		service := platformtest.Service{Name: name, HealthPath: healthPath, Limit: 360}
		service.Engine.Slots = slots
		services = append(services, service)
	}
	stream := platformtest.Route{
		Name: "reply-draft", Host: siteHost, PathPrefix: streamRoute, Kind: "streaming", Service: model, TimeoutMS: 5000, LatencyMS: 300, Attempts: 2, Resume: true,
	}
	others := stream
	others.Name, others.PathPrefix, others.Service = "teacher-note", otherRoute, other
	jobs := platformtest.Route{
		Name: "jury-schedule", Host: siteHost, PathPrefix: batchRoute, Kind: "batch", Service: model, LatencyMS: 400, Attempts: 3,
		Quota: 1_300_000, DueMS: 18_000, RetentionS: retention.Seconds(),
	}
	routes := append([]platformtest.Route{stream, others, jobs}, added...)
	s.record.write("configuration version %d with %d routes", version, len(routes))
	return platformtest.PublishConfiguration(context.Background(), s.store, version, routes, services)
}

// register writes the worker's registry entry once per heartbeat.
func (s *site) register(ctx context.Context, w *worker) {
	for sequence := 1; ctx.Err() == nil && !w.down.Load(); sequence++ {
		value, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": "se-mid-a", "version": 1, "slots": cap(w.slots), "state": "ready",
			"cold_remaining_ms": 0, "sequence": sequence, "born": w.born,
		})
		_, _ = s.store.Append(ctx, fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: w.id, Value: value}})
		select {
		case <-time.After(heartbeat):
		case <-ctx.Done():
		}
	}
}

// start starts a program of the deploy file with the settings.
func (s *site) start(role string, node platformtest.Node) error {
	node.Store, node.DataCentre, node.Grace = s.storeURL, "se-mid-a", 8*time.Second
	path := filepath.Join(s.dir, node.Name+".conf")
	if err := os.WriteFile(path, []byte(node.Settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, node.Name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/sycamoretally", role)
	cmd.Env = append(os.Environ(), "SYCAMORETALLY_SETTINGS="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.daemons[node.Name] = &daemon{process: cmd, node: node, settings: path}
	s.record.write("started %s as %s at %s, process %d", role, node.Name, node.Address, cmd.Process.Pid)
	return nil
}

// awaitReady returns once every gateway reports that it is ready.
func (s *site) awaitReady() error {
	client := http.Client{Timeout: 300 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, address := range s.gateways {
		for deadline := time.Now().Add(bootTimeout); ; time.Sleep(50 * time.Millisecond) {
			resp, err := client.Get(fmt.Sprint("http://", address, ":", readyPort, "/ready"))
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", address)
			}
		}
	}
	return nil
}

// close ends every process that the site has started and removes its files.
func (s *site) close() {
	for _, d := range s.daemons {
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
	}
	if s.cancel != nil {
		s.cancel()
	}
	if s.reserved != nil {
		_ = s.reserved.Close()
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
