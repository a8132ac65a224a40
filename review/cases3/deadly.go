package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// cutFor is how long the store turns one gateway away.
	cutFor = 9 * time.Second
	// comesEvery is the time between two requests that crash workers. After firstTries of them the
	// caller waits for callerPause.
	comesEvery  = 600 * time.Millisecond
	firstTries  = 3
	callerPause = 4 * time.Second
	// backAfter is the time from a worker's crash to its next lifetime.
	backAfter = 3 * time.Second
	// readyEvery is the time between two questions of the platform whether a gateway is ready.
	// Two misses in a row take it out of rotation.
	readyEvery = time.Second
	maxMisses  = 2
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// crashPath is the path of the request that crashes workers.
	crashPath = "/d/30/crashes"
	// allowedRetries is the number of retries that may reach workers later than stableWindow after
	// the third crash.
	allowedRetries = 3
)

// rotation is the platform's balancer: the caller's channels go to the first of its gateways that
// is in rotation.
type rotation struct {
	gateways []*process
	misses   map[*process]int
}

// ask asks all gateways whether they are ready.
func (r *rotation) ask() {
	for _, p := range r.gateways {
		if isReady(p) {
			r.misses[p] = 0
			continue
		}
		if r.misses[p]++; r.misses[p] == maxMisses {
			p.site.record.write("the platform takes %s out of rotation", p.name)
		}
	}
}

// pick returns the gateway for the caller.
func (r *rotation) pick() *process {
	for _, p := range r.gateways {
		if r.misses[p] < maxMisses {
			return p
		}
	}
	return r.gateways[0]
}

// sentTo is a request that crashes workers, as its caller sent it.
type sentTo struct {
	id      string
	gateway *process
}

// playDeadly lets a caller send the same request again and again, which crashes each worker that
// begins to run it. The store turns the caller's gateway away meanwhile.
func playDeadly(s *site, trouble bool) ([]string, error) {
	routes := []map[string]any{streamRoute("stream-a", "/a/", serviceA, 2, true), streamRoute("stream-d", "/d/", serviceA, 1, false)}
	if err := s.publish(1, routes, []map[string]any{modelService(serviceA)}); err != nil {
		return nil, err
	}
	params := workerParams{crashes: func(r *run, n int) bool { return r.path == crashPath && n > r.after+1 }}
	services := strings.Fields(strings.Repeat(serviceA+" ", 10))
	gateways, sides, err := s.startAll(3, services, params)
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	defer close(done)
	for _, m := range sides {
		go s.restartCrashed(m, params, done)
	}
	go newClient(s).streamOften(gateways, "/a/", 100*time.Millisecond, done)
	time.Sleep(2 * stableWindow)
	balancer := &rotation{gateways: gateways, misses: map[*process]int{}}
	if trouble {
		s.record.write("the store turns %s away", gateways[0].name)
		gateways[0].store.setCut(true)
	}
	sent := s.sendCrashing(balancer)
	gateways[0].store.setCut(false)
	return retriesTooMany(s.journal.all(), sent, gateways[0], trouble), nil
}

// restartCrashed starts a new lifetime of the machine's worker some time after each crash.
func (s *site) restartCrashed(m *side, params workerParams, done <-chan struct{}) {
	for lifetime := 2; ; lifetime++ {
		for m.worker.alive() {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
		time.Sleep(backAfter)
		next, err := s.startWorker(fmt.Sprintf("i-%d-%d", m.machine, lifetime), serviceA, m.machine, params)
		if err != nil {
			s.record.write("worker not started again: %v", err)
			return
		}
		m.worker = next
	}
}

// sendCrashing sends the request that crashes workers for cutFor, each time with an ID of its own.
func (s *site) sendCrashing(balancer *rotation) []sentTo {
	var sent []sentTo
	c := newClient(s)
	begun := time.Now()
	next, asked := begun, begun
	for time.Since(begun) < cutFor {
		if time.Since(asked) >= readyEvery {
			asked = asked.Add(readyEvery)
			balancer.ask()
		}
		if time.Now().After(next) {
			one := sentTo{newID(), balancer.pick()}
			sent = append(sent, one)
			header := map[string]string{headerDeadline: "5000", "X-Sycamoretally-Model": "m", "X-Sycamoretally-Token-Usage": "450,30"}
			go c.call(one.gateway, http.MethodPost, crashPath, one.id, header, []byte("the same body"), streamLimit)
			next = next.Add(comesEvery)
			if len(sent) == firstTries {
				next = next.Add(callerPause)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return sent
}

// retriesTooMany counts the requests that reached workers from gateways in touch later than
// stableWindow after the third crash.
func retriesTooMany(runs []run, sent []sentTo, cut *process, trouble bool) []string {
	gatewayOf := map[string]*process{}
	for _, one := range sent {
		gatewayOf[one.id] = one.gateway
	}
	var third time.Time
	crashes := 0
	var late []run
	for _, r := range runs {
		if r.path != crashPath {
			continue
		}
		if crashes++; crashes == 3 {
			third = r.worked // the crash follows the first event
		}
		inTouch := !trouble || gatewayOf[r.request] != cut
		if crashes > 3 && inTouch && r.at.Sub(third) > stableWindow {
			late = append(late, r)
		}
	}
	if len(late) <= allowedRetries {
		return nil
	}
	var broken []string
	for _, r := range late {
		broken = append(broken, fmt.Sprintf("BUDGET: %s reached worker %s from %s %v after the third crash", r.request, r.worker, gatewayOf[r.request].name, r.at.Sub(third)))
	}
	return broken
}
