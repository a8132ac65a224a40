package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	// eventTime is the time that a target takes for an event.
	eventTime = 10 * time.Millisecond
	// finish is the bound finish_s: the time after the end of traffic within which all items
	// must be listed.
	finish = 18 * time.Second
	// calm is the last part of finish_s, in which no target may have worked on an item that
	// is still open.
	calm = 5 * time.Second
	// lostPercent and lostTime are the share of writes to the store whose answers are lost,
	// and for how long that lasts.
	lostPercent = 35
	lostTime    = 4500 * time.Millisecond
)

// runUnheldClaim lets the store lose answers, three times, while many jobs wait and each target
// also runs some long items. It breaks if an item is listed neither as completed nor as a
// dead letter at the end of finish_s, though the targets had room all the while.
func runUnheldClaim(s *site, trouble bool) ([]string, error) {
	const (
		workers    = 8
		longItems  = 20
		longEvents = 8200
		burstJobs  = 48
	)
	short := batchRoute("short", "jobs.example", "/short.100/", "model")
	long := batchRoute("long", "jobs.example", fmt.Sprintf("/long.%d/", longEvents), "model")
	long.DueMS, long.RetentionS = 120000, 600
	if err := s.publish([]platformtest.Route{short, long}, "model"); err != nil {
		return nil, err
	}
	if err := s.startGateways(3); err != nil {
		return nil, err
	}
	if err := s.startWorkers(workers, "model", platformtest.TargetParams{Slots: slots, Queue: 24, EventTime: eventTime}); err != nil {
		return nil, err
	}
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	b := &burst{site: s, route: short}
	b.send(8)
	time.Sleep(3 * time.Second)
	slow := &burst{site: s, route: long, size: 1}
	for range longItems {
		slow.send(1)
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for range 3 {
		b.send(burstJobs)
		time.Sleep(500 * time.Millisecond)
		if trouble {
			s.rec.note("the store begins to lose answers")
			s.lostPercent.Store(lostPercent)
		}
		time.Sleep(lostTime)
		s.lostPercent.Store(0)
		s.rec.note("the store loses no answers any more")
		time.Sleep(7 * time.Second)
	}
	time.Sleep(17 * time.Second)
	b.send(1)
	b.senders.Wait()
	s.rec.note("no further jobs are sent")
	end := time.Now()
	time.Sleep(finish)
	s.rec.note("finish_s is over")
	return s.unlisted(b.accepted, slow.accepted, end), nil
}

// burst sends jobs and keeps those that were accepted.
type burst struct {
	site  *site
	route platformtest.Route
	// size is the number of items of each job, 10 if it is 0.
	size    int
	senders sync.WaitGroup

	mu       sync.Mutex
	sent     int
	accepted []*job
}

// send sends n jobs at once. Each comes again until it is accepted.
func (b *burst) send(n int) {
	size := b.size
	if size == 0 {
		size = 10
	}
	for range n {
		j := newJob(b.route, size)
		b.sent++
		first := b.sent
		b.senders.Go(func() {
			if b.site.submit(j, first, 12) {
				b.mu.Lock()
				b.accepted = append(b.accepted, j)
				b.mu.Unlock()
			}
		})
	}
}

// unlisted returns the items of the jobs that have no result, unless a target worked on an
// item that is not listed in the last seconds. slow are the jobs with long items.
func (s *site) unlisted(jobs, slow []*job, end time.Time) []string {
	now := time.Now()
	runs := s.journal.Runs()
	last, isSlow, perTarget := map[string]time.Time{}, map[string]bool{}, map[string]int{}
	for _, j := range slow {
		isSlow[j.items[0].ID] = true
	}
	latest := end
	for _, r := range runs {
		last[r.Request] = r.Started
		if isSlow[r.Request] {
			perTarget[r.Target]++
		} else if r.Started.After(latest) {
			latest = r.Started
		}
	}
	s.rec.note("long items begun, by target: %v", perTarget)
	s.rec.note("the last run of a short item began %.1f s after the end of traffic", latest.Sub(end).Seconds())
	listed := s.readAll(append(append([]*job(nil), jobs...), slow...))
	longDone := 0
	for _, j := range slow {
		longDone += len(listed[j.id])
	}
	s.rec.note("%d of %d long items are done", longDone, len(slow))
	var broken []string
	for _, j := range jobs {
		for _, i := range j.items {
			begun, ran := last[i.ID]
			if listed[j.id][i.ID] || now.Sub(begun) < calm {
				continue
			}
			state := "no run of it ever began"
			if ran {
				state = fmt.Sprintf("its last run began %.1f s after the end of traffic", begun.Sub(end).Seconds())
			}
			broken = append(broken, fmt.Sprintf("item %s of job %s is not listed %.1f s after the end of traffic; %s", i.ID, j.id, now.Sub(end).Seconds(), state))
		}
	}
	if now.Sub(latest) < calm {
		s.rec.note("targets ran short items in the last %v, so the %d items that are not listed are excused", calm, len(broken))
		return nil
	}
	return broken
}

// readAll reads the known results of the jobs and returns the IDs of the listed items by job.
func (s *site) readAll(jobs []*job) map[string]map[string]bool {
	const readers = 12
	listed := map[string]map[string]bool{}
	var mu sync.Mutex
	var group sync.WaitGroup
	next := make(chan *job)
	for range readers {
		group.Go(func() {
			for j := range next {
				results := s.results(j, time.Second)
				mu.Lock()
				listed[j.id] = map[string]bool{}
				for _, r := range results {
					listed[j.id][r.ID] = true
				}
				mu.Unlock()
			}
		})
	}
	for _, j := range jobs {
		next <- j
	}
	close(next)
	group.Wait()
	return listed
}
