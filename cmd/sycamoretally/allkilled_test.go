package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
	"github.com/sycamoretally/sycamoretally/processtest"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

const (
	// killedGateways and killedTargets are the sizes of the site.
	killedGateways = 2
	killedTargets  = 4
	// streamObjective is the time within which callers want the first event of a stream.
	streamObjective = 300 * time.Millisecond
	// recoveryLimit is the time after the start of all processes within which nine of ten
	// requests must meet their objective again.
	recoveryLimit = 3 * time.Second
	// requestInterval is the time between two requests, and recoveryWindow the time over
	// which their share is taken.
	requestInterval = 10 * time.Millisecond
	recoveryWindow  = 500 * time.Millisecond
)

// killedSite is a site of which every process can be killed at once.
type killedSite struct {
	t          *testing.T
	store      *fleetstore.Store
	journal    platformtest.Journal
	processes  []*processtest.Process
	targets    []*platformtest.Target
	callers    []string
	generation int
}

// newKilledSite starts a store, gateways, and targets with batchers.
func newKilledSite(t *testing.T) *killedSite {
	t.Helper()
	s := &killedSite{t: t, store: fleetstore.New()}
	l, err := net.Listen("tcp", "127.45.2.200:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: platformtest.StoreHandler(s.store), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	route := platformtest.Route{
		Name: "r", Host: "h.example", PathPrefix: "/r.5/", Kind: "streaming", Service: "s", Attempts: 2, Resume: true,
		TimeoutMS: 3000, LatencyMS: float64(streamObjective.Milliseconds()),
	}
	service := platformtest.Service{Name: "s", HealthPath: platformtest.HealthPath, Limit: 200}
	service.Engine.Slots = 8
	assert.NilError(t, platformtest.PublishConfiguration(t.Context(), s.store, 1, []platformtest.Route{route}, []platformtest.Service{service}))
	start := func(role string, node platformtest.Node) {
		node.DataCentre, node.Store, node.Grace = "dc", l.Addr().String(), time.Second
		path := filepath.Join(t.TempDir(), "settings")
		assert.NilError(t, os.WriteFile(path, []byte(node.Settings()), 0o600))
		s.processes = append(s.processes, startRole(t, role, path))
	}
	s.startTargets()
	s.registerTargets()
	for i := range killedTargets {
		host := targetHost(i)
		start("batcher", platformtest.Node{Name: fmt.Sprint("batcher-", i), Address: host, App: host + ":8080", Service: "s"})
	}
	for i := range killedGateways {
		host := fmt.Sprint("127.45.2.", 1+i)
		s.callers = append(s.callers, host+":8144")
		start("gateway", platformtest.Node{Name: fmt.Sprint("gateway-", i), Address: host, Callers: host + ":8144", Ready: host + ":8140"})
	}
	return s
}

func targetHost(i int) string { return fmt.Sprint("127.45.2.", 11+i) }

// startTargets starts the next incarnation of each target, which is not registered.
func (s *killedSite) startTargets() {
	s.generation++
	s.targets = nil
	work := platformtest.TargetParams{Slots: 8, Queue: 8, EventTime: 5 * time.Millisecond}
	for i := range killedTargets {
		target, err := platformtest.NewTarget(fmt.Sprintf("i-%d-%d", i, s.generation), "s", targetHost(i)+":8080", work, &s.journal)
		assert.NilError(s.t, err)
		s.t.Cleanup(target.Crash)
		s.targets = append(s.targets, target)
	}
}

func (s *killedSite) registerTargets() {
	for _, target := range s.targets {
		assert.NilError(s.t, platformtest.RegisterTarget(s.t.Context(), s.store, target, target.Address(), time.Now().UnixMilli()))
	}
}

// killAndStartAll kills all processes and targets, and starts them again.
func (s *killedSite) killAndStartAll() {
	for _, p := range s.processes {
		assert.NilError(s.t, p.Kill())
	}
	for _, target := range s.targets {
		target.Crash()
	}
	s.startTargets()
	for _, p := range s.processes {
		assert.NilError(s.t, p.Start())
	}
}

// meetsObjective sends one request and reports whether its first event comes in time and it is
// answered in full.
func (s *killedSite) meetsObjective(client *http.Client, number int) bool {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+s.callers[number%len(s.callers)]+"/r.5/1", strings.NewReader("x"))
	if err != nil {
		return false
	}
	r.Host = "h.example"
	r.Header.Set(platformtest.HeaderRequestID, fmt.Sprint("request-", number))
	begun := time.Now()
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var first [1]byte
	_, err = io.ReadFull(resp.Body, first[:])
	inTime := err == nil && resp.StatusCode == http.StatusOK && time.Since(begun) <= streamObjective
	_, err = io.Copy(io.Discard, resp.Body)
	return inTime && err == nil
}

// recoveredAfter sends requests at a constant rate and returns the time until nine of ten of
// those that are sent within recoveryWindow meet their objective.
func (s *killedSite) recoveredAfter(limit time.Duration) (time.Duration, bool) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	perWindow := int(recoveryWindow / requestInterval)
	met := make([]bool, int(limit/requestInterval))
	var all sync.WaitGroup
	tick := time.NewTicker(requestInterval)
	defer tick.Stop()
	for i := range met {
		all.Go(func() { met[i] = s.meetsObjective(client, i+s.generation*len(met)) })
		<-tick.C
	}
	all.Wait()
	for from := 0; from+perWindow <= len(met); from++ {
		count := 0
		for _, ok := range met[from : from+perWindow] {
			if ok {
				count++
			}
		}
		if 10*count >= 9*perWindow {
			return time.Duration(from) * requestInterval, true
		}
	}
	return 0, false
}

// TestAllKilledUnderLoad kills every process and target of a site under load and starts them
// again. The targets have not registered by then, as after a loss of power: the registry names
// what ran before, and a gateway that goes by it alone refuses all requests.
func TestAllKilledUnderLoad(t *testing.T) {
	t.Parallel()
	s := newKilledSite(t)
	_, served := s.recoveredAfter(recoveryLimit)
	assert.Assert(t, served, "no requests are served before the fault")
	s.killAndStartAll()
	took, served := s.recoveredAfter(recoveryLimit + recoveryWindow)
	t.Logf("nine of ten requests met their objective again after %v", took)
	assert.Assert(t, served && took <= recoveryLimit, "%v", took)
}
