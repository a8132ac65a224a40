package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// Ports and times of a small deployment.
const (
	frontPort = 8144
	readyPort = 8140
	appPort   = 8147
	// heartbeat is the time between two records of a worker in the store, and missedHeartbeats
	// the number of those after whose lack the store removes its entry.
	heartbeat        = 1200 * time.Millisecond
	missedHeartbeats = 3
	// host is the host of all routes.
	host = "review.example"
)

// site is a small deployment: the store, the workers, and the project's programs as processes.
type site struct {
	record  *record
	journal *journal
	store   *fleetstore.Store
	handler http.Handler
	folder  string
	subnet  string

	mu        sync.Mutex
	processes []*process
	workers   []*worker
	closers   []func()
}

// process is one of the project's programs on a machine of its own.
type process struct {
	name, role, address string
	settings            string
	// store is how this machine reaches the store.
	store *storePath
	site  *site

	mu  sync.Mutex
	cmd *exec.Cmd
}

// storePath is the path of one machine to the store, which can be cut.
type storePath struct {
	store http.Handler
	mu    sync.Mutex
	// cut is closed when the path is whole again. It is nil while it is whole.
	cut chan struct{}
}

// ServeHTTP implements http.Handler. While the path is cut, calls get no answer and are not done.
func (p *storePath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	cut := p.cut
	p.mu.Unlock()
	if cut != nil {
		select {
		case <-cut:
		case <-r.Context().Done():
		}
		panic(http.ErrAbortHandler)
	}
	p.store.ServeHTTP(w, r)
}

// setCut cuts the path, or heals it.
func (p *storePath) setCut(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut != nil {
		close(p.cut)
		p.cut = nil
	}
	if on {
		p.cut = make(chan struct{})
	}
}

// errUnusable means that the case could not run.
var errUnusable = errors.New("the case could not run")

// newSite returns a site with a store and no processes.
func newSite(rec *record) (*site, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	s := &site{record: rec, journal: &journal{}, store: fleetstore.New(), folder: folder}
	s.handler = platformtest.StoreHandler(s.store)
	for range 100 {
		subnet := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250))
		l, err := net.Listen("tcp", subnet+"254:8144")
		if err == nil {
			s.subnet = subnet
			s.closers = append(s.closers, func() { _ = l.Close() })
			return s, nil
		}
	}
	return nil, fmt.Errorf("%w: no free subnet", errUnusable)
}

// close ends all processes and workers, and removes the folder.
func (s *site) close() {
	s.mu.Lock()
	processes, workers := s.processes, s.workers
	s.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	for _, w := range workers {
		w.crash()
	}
	for _, c := range s.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// address returns the address of a machine.
func (s *site) address(machine int) string { return fmt.Sprint(s.subnet, machine) }

// startProcess starts a program of the deploy file on a machine. app and service are those of
// the worker beside a batcher.
func (s *site) startProcess(role string, machine int, app, service string) (*process, error) {
	p := &process{name: fmt.Sprintf("%s-%d", role, machine), role: role, address: s.address(machine), site: s, store: &storePath{store: s.handler}}
	l, err := net.Listen("tcp", s.address(200)+":0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: p.store}
	go func() { _ = server.Serve(l) }() // it ends with close
	s.closers = append(s.closers, func() { _ = server.Close() })
	p.settings = filepath.Join(s.folder, p.name+".conf")
	if err := p.writeSettings(l.Addr().String(), app, service); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p, p.start()
}

// writeSettings writes the settings file of the machine.
func (p *process) writeSettings(store, app, service string) error {
	lines := []string{
		"node_name=" + p.name, "ip_address=" + p.address, "zone=zone-a", "region=region-a", "zones.zone-a=region-a",
		"internal_port_range=7660,7675", "bootstrap=false", "limits.cpu_share=0.8", "limits.cores=1", "limits.memory_mb=304",
		"limits.file_descriptors=8200", "heartbeat_ms=1200", "bounds.reuse_after_s=2", "bounds.stable_window_ms=3000",
		"bounds.drain_ms=2000", "bounds.grace_period_s=8", "bounds.config_propagation_ms=2000", "bounds.status_s=120",
		"bounds.cancel_ms=3000", "bounds.settle_ms=1000", "bounds.quota_overage=0.1", "platform.address=" + store,
		"platform.form=log", "platform.record_bytes=262144", "platform.call_bytes=2097152", "platform.retention_s=300",
	}
	if p.role == "gateway" {
		lines = append(lines, "machine_class=front", fmt.Sprintf("listen_addresses.front=%s:%d", p.address, frontPort),
			fmt.Sprintf("listen_addresses.ready=%s:%d", p.address, readyPort))
	} else {
		lines = append(lines, "machine_class=side", "app="+app, "service="+service)
	}
	return os.WriteFile(p.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// changeService names another service in the settings file, without a signal.
func (p *process) changeService(from, to string) error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	p.site.record.write("the settings file of %s names the service %s", p.name, to)
	return os.WriteFile(p.settings, []byte(strings.Replace(string(text), "service="+from, "service="+to, 1)), 0o600)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/sycamoretally", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.site.folder, "SYCAMORETALLY_SETTINGS=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errUnusable, err)
	}
	p.site.record.write("process %s starts, id %d", p.name, cmd.Process.Pid)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
	return nil
}

// kill ends the process at once, if it runs.
func (p *process) kill() {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	p.site.record.write("process %s is killed", p.name)
}

// signal sends a signal to the process.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.site.record.write("process %s gets signal %v", p.name, sig)
		_ = p.cmd.Process.Signal(sig)
	}
}

// startWorker starts a worker on a machine, which writes to the store from then on.
func (s *site) startWorker(id, service string, machine int, params workerParams) (*worker, error) {
	w, err := startWorker(id, service, fmt.Sprintf("%s:%d", s.address(machine), appPort), params, s.journal, s.record)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUnusable, err)
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	go s.keepRegistered(w)
	return w, nil
}

// keepRegistered writes the worker's entry every heartbeat, and removes it after the worker has
// been silent for some of them.
func (s *site) keepRegistered(w *worker) {
	put := func(value []byte) {
		_, err := s.store.Append(context.Background(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: w.id, Value: value}})
		if err != nil {
			s.record.write("entry of %s not written: %v", w.id, err)
		}
	}
	for sequence := 1; w.alive(); sequence++ {
		put(w.entry(sequence))
		time.Sleep(heartbeat)
	}
	time.Sleep((missedHeartbeats - 1) * heartbeat)
	s.record.write("the store removes the entry of %s", w.id)
	put(nil)
}

// publish writes a version of the configuration.
func (s *site) publish(version int64, routes, services []map[string]any) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	_, err = s.store.Append(context.Background(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: value}})
	s.record.write("configuration %d is written", version)
	return err
}

// modelService returns the configuration of a service of model workers.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_check_path": healthPath, "connection_limit": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": workerSlots, "kv_cache_tokens": 101495, "models": []map[string]string{{"name": "m"}}},
	}
}

// streamRoute returns the configuration of a route of streams.
func streamRoute(name, prefix, service string, attempts int, resume bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300, "priority": 0,
		"service": service, "attempts": attempts, "session_affinity": true, "allow_resume": resume, "gap_aim_ms": 600,
	}
}

// batchRoute returns the configuration of a route of batch jobs.
func batchRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": "batch", "timeout_ms": 15000, "target_latency_ms": 400, "priority": 2,
		"service": service, "attempts": 3, "result_deadline_ms": 18000, "retention_s": 60, "max_count": 1300000,
	}
}

// awaitReady returns once all gateways are ready.
func (s *site) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, p := range s.processes {
		for p.role == "gateway" && !isReady(p) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: %s is not ready", errUnusable, p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func isReady(p *process) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.address, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
