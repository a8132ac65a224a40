package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// runRemovedRoute removes the route of a job that is done and whose results have been read.
// It breaks if the results can't be read again at a gateway, within status_s.
func runRemovedRoute(s *site, trouble bool) ([]string, error) {
	route := batchRoute("batch", "jobs.example", "/batch.30/", "model")
	other := batchRoute("other", "other.example", "/other.30/", "model")
	if err := s.publish([]platformtest.Route{route, other}, "model"); err != nil {
		return nil, err
	}
	if err := s.startGateways(3); err != nil {
		return nil, err
	}
	if err := s.startWorkers(2, "model", platformtest.TargetParams{Slots: slots, Queue: 24, EventTime: eventTime}); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	j := newJob(route, 10)
	if !s.submit(j, 0, 3) {
		return nil, fmt.Errorf("%w: job not accepted", errCase)
	}
	before := s.results(j, 15*time.Second)
	if len(before) != len(j.items) {
		return nil, fmt.Errorf("%w: only %d results", errCase, len(before))
	}
	next := []platformtest.Route{route, other, batchRoute("idle", "idle.example", "/idle.30/", "model")}
	if trouble {
		next = []platformtest.Route{other}
	}
	if err := s.publish(next, "model"); err != nil {
		return nil, err
	}
	var broken []string
	for range 4 {
		time.Sleep(4 * time.Second)
		for _, g := range s.gateways {
			status, p := s.read(g, j, 0)
			s.rec.note("results of job %s read at %s: status %d, %d results", j.id, g.name, status, len(p.Results))
			if status == http.StatusNotFound || status == http.StatusGone {
				broken = append(broken, fmt.Sprintf("%s answers %d for job %s, which it had accepted and whose 10 results had been read", g.name, status, j.id))
			}
		}
	}
	return broken, nil
}
