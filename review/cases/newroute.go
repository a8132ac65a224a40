package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// runNewRoute lets the store turn the batchers' machines away for some seconds, three times.
// Meanwhile the operator adds a batch route and a caller sends a job to it. It breaks if an
// item of such a job is given up, though its target never failed and the route is in force.
func runNewRoute(s *site, trouble bool) ([]string, error) {
	const (
		rounds     = 3
		awayTime   = 6 * time.Second
		calmTime   = 7 * time.Second
		maxReadGap = 700 * time.Millisecond
	)
	routes := []platformtest.Route{batchRoute("first", "jobs.example", "/first.30/", "model")}
	if err := s.publish(routes, "model"); err != nil {
		return nil, err
	}
	if err := s.startGateways(6); err != nil {
		return nil, err
	}
	if err := s.startWorkers(3, "model", platformtest.TargetParams{Slots: slots, Queue: 24, EventTime: eventTime}); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	var broken []string
	for i := range rounds {
		if i > 0 {
			time.Sleep(calmTime)
		}
		warmUp := newJob(routes[0], 10)
		if !s.submit(warmUp, i, 3) || len(s.results(warmUp, 15*time.Second)) < 10 {
			return nil, fmt.Errorf("%w: a job on the first route was not done", errCase)
		}
		time.Sleep(rand.N(maxReadGap))
		s.turnAway(s.batchers, trouble)
		begun := time.Now()
		time.Sleep(500 * time.Millisecond)
		added := batchRoute(fmt.Sprint("added-", i), fmt.Sprintf("new-%d.example", i), fmt.Sprintf("/added-%d.30/", i), "model")
		routes = append(routes, added)
		if err := s.publish(routes, "model"); err != nil {
			return nil, err
		}
		time.Sleep(3 * time.Second)
		j := newJob(added, 10)
		if !s.submit(j, i, 3) {
			return nil, fmt.Errorf("%w: the job on the added route was not accepted", errCase)
		}
		time.Sleep(time.Until(begun.Add(awayTime)))
		s.turnAway(s.batchers, false)
		for _, r := range s.results(j, 20*time.Second) {
			s.rec.note("result: item %s, %s, %d bytes", r.ID, r.State, len(r.Text))
			if r.State != "completed" {
				broken = append(broken, fmt.Sprintf("item %s is listed as %s, though no target failed it, its route exists and retention_s is not over", r.ID, r.State))
			}
		}
	}
	s.noteRuns(func(platformtest.Run) bool { return true })
	return broken, nil
}

// turnAway sets whether the store gives these machines no answer.
func (s *site) turnAway(machines []*machine, away bool) {
	for _, m := range machines {
		m.turnedAway.Store(away)
	}
	if away {
		s.rec.note("the store turns the machines of the batchers away")
	} else {
		s.rec.note("the store serves all machines")
	}
}
