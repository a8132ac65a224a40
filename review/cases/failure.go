package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	// failAfter is the time that a faulty target works on an item before it fails.
	failAfter = 300 * time.Millisecond
	// minCopyDelay and maxCopyDelay bound the time after which the second copy of a failure
	// is sent.
	minCopyDelay = 120 * time.Millisecond
	maxCopyDelay = 380 * time.Millisecond
)

// faultyTarget is a target that fails its first run of some items with status 500, and does
// them the next time. With trouble, it sends some of these answers once more, late, on the
// same connection.
type faultyTarget struct {
	site    *site
	id      string
	trouble bool

	mu      sync.Mutex
	running int
	// failures counts the answers with status 500 by item, without copies.
	failures map[string]int
	runs     map[string]int
	copies   int
	answers  int
}

func (t *faultyTarget) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go t.serveConn(conn)
	}
}

// lockedConn serializes the answers on a connection and the copies of earlier ones.
type lockedConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *lockedConn) send(text string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, err := io.WriteString(c.Conn, text)
	return err
}

func (t *faultyTarget) serveConn(raw net.Conn) {
	conn := &lockedConn{Conn: raw}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if t.answer(conn, r) != nil {
			return
		}
	}
}

func head(status, headers string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n", status, headers, length)
}

func (t *faultyTarget) answer(conn *lockedConn, r *http.Request) error {
	instance := platformtest.HeaderInstance + ": " + t.id + "\r\n"
	switch r.URL.Path {
	case "/report":
		t.mu.Lock()
		body := fmt.Sprintf(`{"state":"ready","queued_requests":0,"running_requests":%d}`, t.running)
		t.mu.Unlock()
		return conn.send(head("200 OK", instance+"Content-Type: application/json\r\n", len(body)) + body)
	case platformtest.HealthPath:
		return conn.send(head("200 OK", instance, 0))
	}
	return t.run(conn, r)
}

// run runs an item: its first run fails if its path asks for that, all others succeed.
func (t *faultyTarget) run(conn *lockedConn, r *http.Request) error {
	id := r.Header.Get(platformtest.HeaderRequestID)
	headers := platformtest.HeaderRequestID + ": " + id + "\r\n" + platformtest.HeaderStamp + ": " + platformtest.Stamp(id) + "\r\n"
	t.mu.Lock()
	t.running++
	t.runs[id]++
	run := t.runs[id]
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	t.site.rec.note("%s begins run %d of item %s, from %s", t.id, run, id, conn.RemoteAddr())
	time.Sleep(failAfter)
	t.mu.Lock()
	t.answers++
	t.mu.Unlock()
	if strings.Contains(r.URL.Path, "/flaky-") && run == 1 {
		return t.fail(conn, id, headers)
	}
	key := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
	body := ""
	for n := 1; n <= platformtest.EventCount(r.URL.Path); n++ {
		body += platformtest.Event(key, n)
	}
	t.site.rec.note("%s answers run %d of item %s with status 200 and its whole output", t.id, run, id)
	return conn.send(head("200 OK", headers+"Content-Type: text/event-stream\r\n", len(body)) + body)
}

func (t *faultyTarget) fail(conn *lockedConn, id, headers string) error {
	t.mu.Lock()
	t.failures[id]++
	t.mu.Unlock()
	answer := head("500 Internal Server Error", headers, 0)
	t.site.rec.note("%s answers item %s with status 500", t.id, id)
	if t.trouble {
		delay := minCopyDelay + rand.N(maxCopyDelay-minCopyDelay)
		time.AfterFunc(delay, func() {
			if conn.send(answer) == nil {
				t.mu.Lock()
				t.copies++
				t.mu.Unlock()
				t.site.rec.note("%s sends the answer to item %s once more, %v late", t.id, id, delay)
			}
		})
	}
	return conn.send(answer)
}

// runSecondFailure lets a target fail some items once and send a few of these answers a
// second time, late. It breaks if an item is given up before its target has answered with
// status 500 as often as the route has attempts.
func runSecondFailure(s *site, trouble bool) ([]string, error) {
	const (
		allowedFailures = 2
		soundItems      = 330
		flakyItems      = 9
	)
	route := batchRoute("batch", "jobs.example", "/batch.20/", "model")
	route.Attempts = allowedFailures
	if err := s.publish([]platformtest.Route{route}, "model"); err != nil {
		return nil, err
	}
	if err := s.startGateways(2); err != nil {
		return nil, err
	}
	address := s.newAddress()
	l, err := net.Listen("tcp", at(address, targetPort))
	if err != nil {
		return nil, err
	}
	defer func() { _ = l.Close() }()
	t := &faultyTarget{site: s, id: "i-model-0", trouble: trouble, failures: map[string]int{}, runs: map[string]int{}}
	go t.serve(l)
	if err := s.registerAddress(t.id, "model", at(address, targetPort)); err != nil {
		return nil, err
	}
	m, err := s.startMachine("batcher", platformtest.Node{Name: "side-0", Address: address, App: at(address, targetPort), Service: "model"})
	if err != nil {
		return nil, err
	}
	s.batchers = append(s.batchers, m)
	if err := s.awaitReady(); err != nil {
		return nil, err
	}
	var jobs []*job
	for i := range flakyItems {
		sound := newJob(route, soundItems/flakyItems)
		flaky := newJob(route, 1)
		flaky.items[0].Path = route.PathPrefix + "flaky-" + flaky.items[0].ID
		for _, j := range []*job{sound, flaky} {
			if !s.submit(j, i, 3) {
				return nil, fmt.Errorf("%w: job not accepted", errCase)
			}
			jobs = append(jobs, j)
		}
		time.Sleep(1800 * time.Millisecond)
	}
	var broken []string
	for _, j := range jobs {
		for _, r := range s.results(j, 15*time.Second) {
			t.mu.Lock()
			failures := t.failures[r.ID]
			t.mu.Unlock()
			if r.State != "completed" && failures < allowedFailures {
				broken = append(broken, fmt.Sprintf("item %s is listed as %s after %d answers of 500, though its route has %d attempts", r.ID, r.State, failures, allowedFailures))
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s.rec.note("the target answered %d runs, %d of them with status 500, and sent %d answers twice", t.answers, len(t.failures), t.copies)
	return broken, nil
}
