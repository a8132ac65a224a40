package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// The case's streams: clients of the gateway that stops, those of the other one, and the
	// events of a stream, one a silenceStep.
	stoppedClients = 40
	otherClients   = 10
	silenceEvents  = 100
	silenceStep    = 25 * time.Millisecond
	// warmUp is the time before the stop. memoryFull is when the memory of one worker runs out
	// after it, for memoryShort.
	warmUp      = 6 * time.Second
	memoryFull  = 300 * time.Millisecond
	memoryShort = 2 * time.Second
	// preempted are the streams that began within this time before.
	preempted = 2400 * time.Millisecond
	// grace is grace_period_s.
	grace = 8 * time.Second
)

// playSilence stops a gateway by SIGTERM while all workers are busy and one of them has preempted
// its newest requests for want of memory.
func playSilence(s *site, trouble bool) ([]string, error) {
	if err := s.publish(1, []map[string]any{streamRoute("stream-a", "/a/", serviceA, 2, true)}, []map[string]any{modelService(serviceA)}); err != nil {
		return nil, err
	}
	stop := time.Now().Add(warmUp + time.Second)
	short := stop.Add(memoryFull)
	params := workerParams{queue: 2, step: silenceStep, pause: func(w *worker, r *run, n int) time.Duration {
		now := time.Now()
		isNewest := r.at.After(short.Add(-preempted)) && r.at.Before(short) && n > r.after+1
		if w.id != firstWorker || !isNewest || now.Before(short) || now.After(short.Add(memoryShort)) {
			return 0
		}
		return time.Until(short.Add(memoryShort))
	}}
	gateways, _, err := s.startAll(2, []string{serviceA, serviceA, serviceA}, params)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var answers []answer
	load := func(p *process, clients int, keep bool) {
		for range clients {
			go func() {
				for c := newClient(s); ; {
					a := c.stream(p, "/a/", silenceEvents)
					if keep {
						mu.Lock()
						answers = append(answers, a)
						mu.Unlock()
					}
					time.Sleep(retryAfter(a.header))
				}
			}()
		}
	}
	load(gateways[0], stoppedClients, true)
	load(gateways[1], otherClients, false)
	time.Sleep(time.Until(stop))
	if trouble {
		gateways[0].signal(syscall.SIGTERM)
	}
	time.Sleep(grace)
	mu.Lock()
	defer mu.Unlock()
	return cutStreams(s, answers, stop, trouble), nil
}

// firstWorker is the worker whose memory runs out.
const firstWorker = "i-21-1"

// cutStreams returns the streams that ended without their last event though their time was not
// up, and that were in flight during the planned stop.
func cutStreams(s *site, answers []answer, stop time.Time, trouble bool) []string {
	var broken []string
	for _, a := range answers {
		took := a.ended.Sub(a.sent)
		if a.status != http.StatusOK || a.whole || took >= streamLimit || a.ended.Before(stop) {
			continue
		}
		text := fmt.Sprintf("LOST: stream %s was cut %v after it was sent, %v after the stop began", a.id, took, a.ended.Sub(stop))
		if !trouble {
			s.record.write("not judged, there is no planned work: %s", text)
			continue
		}
		broken = append(broken, text)
	}
	return broken
}
