package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	// finishTime is how long batch jobs have after the last one was submitted.
	finishTime = 18 * time.Second
	// longID is the length of the item IDs of one job, in bytes.
	longID = 256
	// retention is the route's retention_s: how long after the first send of a job its items
	// may not be given up yet.
	retention = 60 * time.Second
	// largePrompt is more than the memory of a worker, in tokens.
	largePrompt = 120_000
)

var errNotAccepted = errors.New("a job was not accepted")

// check returns what breaks the rules about the jobs' results.
func check(jobs []*job) (broken []string) {
	for _, j := range jobs {
		listed := map[string]bool{}
		for n, r := range j.results {
			if listed[r.ID] {
				broken = append(broken, fmt.Sprintf("TWICE: job %s lists item %.40s at two positions", j.id, r.ID))
			}
			listed[r.ID] = true
			if r.State == "completed" && r.Text != output(r.ID) {
				broken = append(broken, fmt.Sprintf("MIXED: job %s position %d: the text of item %.40s has %d pieces and is not its output of %d", j.id, n, r.ID, strings.Count(r.Text, "\n")+1, eventsPerItem))
			}
		}
		if missing := len(j.items) - len(j.results); missing > 0 {
			broken = append(broken, fmt.Sprintf("LOST: job %s: %d of %d items are not listed %v after the last job was accepted", j.id, missing, len(j.items), finishTime))
		}
	}
	return broken
}

// submitAll submits the jobs, one each interval.
func (s *site) submitAll(jobs []*job, interval time.Duration) error {
	for _, j := range jobs {
		s.submit(j)
		if !j.accepted {
			return errNotAccepted
		}
		time.Sleep(interval)
	}
	return nil
}

// longIDs lets one client submit a job whose items have long IDs, among jobs of others.
func longIDs(rec *record, trouble bool) ([]string, error) {
	s, err := newSite(rec, 2, 1, 8, 15*time.Millisecond)
	defer s.close()
	if err != nil {
		return nil, err
	}
	odd := newJob(6)
	if trouble {
		for n, id := range odd.items {
			odd.items[n] = id + strings.Repeat("0", longID-len(id))
		}
	}
	jobs := []*job{newJob(6), odd, newJob(6), newJob(6)}
	if err := s.submitAll(jobs, 500*time.Millisecond); err != nil {
		return nil, err
	}
	s.readAll(jobs, finishTime)
	return check(jobs), nil
}

// spoiledAnswer lets a worker spoil one answer to an item: it sends a few events again and
// breaks off.
func spoiledAnswer(rec *record, trouble bool) ([]string, error) {
	s, err := newSite(rec, 2, 3, 8, 15*time.Millisecond)
	defer s.close()
	if err != nil {
		return nil, err
	}
	if trouble {
		s.workers[0].spoil = func(run int) int {
			if run%50 == 5 { // 2 in 100 answers
				return 40
			}
			return 0
		}
	}
	var jobs []*job
	for range 7 {
		jobs = append(jobs, newJob(10))
	}
	if err := s.submitAll(jobs, 500*time.Millisecond); err != nil {
		return nil, err
	}
	s.readAll(jobs, finishTime)
	return check(jobs), nil
}

// tooLarge lets one item of a job need more memory than any worker has. Workers reject it as if
// they were full. Its job was first sent more than retention before the end of the case.
func tooLarge(rec *record, trouble bool) ([]string, error) {
	s, err := newSite(rec, 2, 3, 8, 15*time.Millisecond)
	defer s.close()
	if err != nil {
		return nil, err
	}
	first := newJob(10)
	if trouble {
		first.prompts[first.items[4]] = largePrompt
	}
	jobs := []*job{first}
	if err := s.submitAll(jobs, time.Second); err != nil {
		return nil, err
	}
	for begun := time.Now(); time.Since(begun) < retention; {
		j := newJob(6)
		jobs = append(jobs, j)
		if err := s.submitAll([]*job{j}, 8*time.Second); err != nil {
			return nil, err
		}
		s.readAll(jobs, 0)
	}
	s.readAll(jobs, finishTime)
	rec.write("the first job was accepted %v or more before the last read", retention+finishTime)
	return check(jobs), nil
}

// routeAdded lets the operator add a route for other requests, whose prefix is longer than that of
// the route for batch jobs and begins the path by which jobs were submitted.
func routeAdded(rec *record, trouble bool) ([]string, error) {
	const slots = 8
	s, err := newSite(rec, 2, 3, slots, 15*time.Millisecond)
	defer s.close()
	if err != nil {
		return nil, err
	}
	var jobs []*job
	for range 6 {
		j := newJob(10)
		j.folder = "night/"
		jobs = append(jobs, j)
	}
	if err := s.submitAll(jobs, 100*time.Millisecond); err != nil {
		return nil, err
	}
	added := platformtest.Route{
		Name: "night-desk", Host: siteHost, PathPrefix: otherRoute + "night/", Kind: "streaming", Service: other, TimeoutMS: 5000, LatencyMS: 300, Attempts: 2,
	}
	if trouble {
		added.PathPrefix = batchRoute + "night/"
	}
	if err := s.publish(firstVersion+4, slots, added); err != nil {
		return nil, err
	}
	s.readAll(jobs, finishTime)
	broken := check(jobs)
	for _, j := range jobs {
		dead := 0
		for _, r := range j.results {
			if r.State == "dead_letter" {
				dead++
			}
		}
		if dead > 0 {
			broken = append(broken, fmt.Sprintf("MIXED: job %s: %d of %d items are dead letters, and no worker answered 422 or 500", j.id, dead, len(j.items)))
		}
	}
	return broken, nil
}
