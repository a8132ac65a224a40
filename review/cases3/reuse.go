package main

import (
	"fmt"
	"strings"
	"time"
)

// The machines of the case: gateways from 1 on, workers with their batchers from 21 on.
const (
	firstGateway = 1
	firstSide    = 21
)

const (
	serviceA = "model-a"
	serviceB = "model-b"
)

// Times of the case after the loss of a machine.
const (
	// processBack is when the batcher of that machine runs again, and addressReused when a
	// worker of another service has the address: reuse_after_s is 2.
	processBack   = time.Second
	addressReused = 2200 * time.Millisecond
	// watched is how long the case goes on after that.
	watched = 6 * time.Second
)

// playReuse loses a machine with its worker, which doesn't come back. The batcher starts again
// before the worker's address may belong to another service, and that happens a moment later.
func playReuse(s *site, trouble bool) ([]string, error) {
	services := []map[string]any{modelService(serviceA), modelService(serviceB)}
	routes := []map[string]any{
		batchRoute("jobs", "/jobs/", serviceA), streamRoute("stream-a", "/a/", serviceA, 2, true), streamRoute("stream-b", "/b/", serviceB, 2, true),
	}
	if err := s.publish(1, routes, services); err != nil {
		return nil, err
	}
	gateways, sides, err := s.startAll(2, []string{serviceA, serviceA, serviceA, serviceB}, workerParams{})
	if err != nil {
		return nil, err
	}
	c := newClient(s)
	stop := make(chan struct{})
	defer close(stop)
	go c.streamOften(gateways, "/a/", 50*time.Millisecond, stop)
	for range 8 { // one batch job a second
		go c.submit(gateways, newJob("/jobs/", 10, 200))
		time.Sleep(time.Second)
	}
	if trouble {
		if err := s.loseSide(sides[0]); err != nil {
			return nil, err
		}
	}
	for range 6 {
		go c.submit(gateways, newJob("/jobs/", 10, 200))
		time.Sleep(watched / 6)
	}
	return misrouted(s.journal.all()), nil
}

// side is a machine with a worker and a batcher.
type side struct {
	machine int
	worker  *worker
	batcher *process
}

// startAll starts gateways, and a machine with a worker for each of the services. All workers have
// the params.
func (s *site) startAll(gateways int, services []string, params workerParams) ([]*process, []*side, error) {
	var fronts []*process
	for i := range gateways {
		p, err := s.startProcess("gateway", firstGateway+i, "", "")
		if err != nil {
			return nil, nil, err
		}
		fronts = append(fronts, p)
	}
	var sides []*side
	for i, service := range services {
		m := &side{machine: firstSide + i}
		var err error
		if m.worker, err = s.startWorker(fmt.Sprintf("i-%d-1", m.machine), service, m.machine, params); err != nil {
			return nil, nil, err
		}
		if m.batcher, err = s.startProcess("batcher", m.machine, m.worker.address, service); err != nil {
			return nil, nil, err
		}
		sides = append(sides, m)
	}
	return fronts, sides, s.awaitReady(10 * time.Second)
}

// loseSide ends the worker for good and the batcher for a second, as a loss of power does. The
// worker's address is used again by one of serviceB, which the settings file tells without a signal.
func (s *site) loseSide(m *side) error {
	begun := time.Now()
	m.batcher.kill()
	m.worker.crash()
	time.Sleep(processBack - time.Since(begun))
	if err := m.batcher.start(); err != nil {
		return err
	}
	time.Sleep(addressReused - time.Since(begun))
	if err := m.batcher.changeService(serviceA, serviceB); err != nil {
		return err
	}
	_, err := s.startWorker(fmt.Sprintf("i-%d-2", m.machine), serviceB, m.machine, workerParams{})
	return err
}

// misrouted returns the runs on paths of serviceA at workers of serviceB.
func misrouted(runs []run) []string {
	var broken []string
	for _, r := range runs {
		if r.service != serviceA && !strings.HasPrefix(r.path, "/b/") {
			broken = append(broken, fmt.Sprintf("ROUTE: %s, path %s, ran at worker %s of service %s", r.request, r.path, r.worker, r.service))
		}
	}
	return broken
}
