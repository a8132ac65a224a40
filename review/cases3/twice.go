package main

import (
	"fmt"
	"time"
)

const (
	// slowAt is when one worker turns slow, and slowFor for how long; slowness is how many times
	// as long its work takes.
	slowAt   = 5 * time.Second
	slowFor  = 5 * time.Second
	slowness = 4
	// readTime is the time to the first event of a stream, and pieceTime that between two events.
	readTime  = 50 * time.Millisecond
	pieceTime = 18 * time.Millisecond
	// overlap is how long the worker before may still work on a request that goes on elsewhere.
	overlap = 400 * time.Millisecond
)

// playTwice turns one of seven workers slow. It is one of those that don't drop a request when its
// channel closes.
func playTwice(s *site, trouble bool) ([]string, error) {
	if err := s.publish(1, []map[string]any{streamRoute("stream-a", "/a/", serviceA, 2, true)}, []map[string]any{modelService(serviceA)}); err != nil {
		return nil, err
	}
	begun := time.Now()
	params := workerParams{step: pieceTime, pause: func(w *worker, r *run, n int) time.Duration {
		took := pieceTime
		if n == r.after+1 {
			took = readTime
		}
		since := time.Since(begun)
		if trouble && w.id == firstWorker && since >= slowAt && since < slowAt+slowFor {
			took *= slowness
		}
		return took - pieceTime
	}, keeps: func(w *worker) bool { return w.id == firstWorker }}
	gateways, _, err := s.startAll(2, []string{serviceA, serviceA, serviceA, serviceA, serviceA, serviceA, serviceA}, params)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	go newClient(s).streamOften(gateways, "/a/", 40*time.Millisecond, stop)
	time.Sleep(slowAt + slowFor + 2*time.Second)
	close(stop)
	time.Sleep(time.Second)
	return overlapping(s.journal.all()), nil
}

// overlapping returns the requests that went on at another worker while the worker before still
// worked on them later than overlap after that.
func overlapping(runs []run) []string {
	var broken []string
	last := map[string]run{}
	for _, r := range runs {
		before, found := last[r.request]
		last[r.request] = r
		if found && before.worker != r.worker && before.worked.Sub(r.at) > overlap {
			broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s while %s worked on it for %v more", r.request, r.worker, before.worker, before.worked.Sub(r.at)))
		}
	}
	return broken
}
