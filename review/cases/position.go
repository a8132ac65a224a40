package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// runPositionPastEnd reads an accepted job from a position that has no result yet. It breaks
// if a gateway answers that there is no such job.
func runPositionPastEnd(s *site, trouble bool) ([]string, error) {
	route := batchRoute("batch", "jobs.example", "/batch.400/", "model")
	if err := s.publish([]platformtest.Route{route}, "model"); err != nil {
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
	time.Sleep(1500 * time.Millisecond)
	position := 0
	if trouble {
		position = 6
	}
	var broken []string
	for _, g := range s.gateways {
		status, p := s.read(g, j, position)
		s.rec.note("job %s read at %s from position %d: status %d, %d results", j.id, g.name, position, status, len(p.Results))
		if status == http.StatusNotFound {
			broken = append(broken, fmt.Sprintf("%s answers 404 for job %s, which was accepted 1.5 s before, when it is read from position %d", g.name, j.id, position))
		}
	}
	s.results(j, 20*time.Second)
	return broken, nil
}
