package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The headers of the platform that the stand-ins use.
const (
	headerRequest  = "X-Sycamoretally-Request-Id"
	headerExpect   = "X-Sycamoretally-Expect-Instance"
	headerInstance = "X-Sycamoretally-Instance-Id"
	headerStamp    = "X-Sycamoretally-Response-Stamp"
	headerNotRun   = "X-Sycamoretally-Not-Run"
	headerLoad     = "X-Sycamoretally-Server-Load"
	headerDeadline = "X-Sycamoretally-Deadline-Ms"
	headerWait     = "X-Sycamoretally-Wait-Ms"
	headerEvent    = "Last-Event-Id"
)

const (
	healthPath = "/health"
	// workerSlots is the number of requests that a worker runs at a time, and workerQueue the
	// number of those that may wait besides.
	workerSlots = 8
	workerQueue = 24
	// eventTime is the time between two events of a stream.
	eventTime = 10 * time.Millisecond
)

// run is one request that a worker began to work on.
type run struct {
	// at is when it began, and worked when it last produced an event.
	at, worked                     time.Time
	request, worker, service, path string
	after, events                  int
}

// journal holds the runs of all workers. It is safe for concurrent use.
type journal struct {
	mu   sync.Mutex
	runs []*run
}

func (j *journal) add(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs = append(j.runs, r)
}

// worked notes that a run has produced an event.
func (j *journal) worked(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.worked = time.Now()
}

// all returns copies of the runs so far.
func (j *journal) all() []run {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make([]run, 0, len(j.runs))
	for _, r := range j.runs {
		runs = append(runs, *r)
	}
	return runs
}

// workerParams say how a worker behaves. The zero value is a sound one.
type workerParams struct {
	// queue is the number of requests that may wait beside those that run, and step the time
	// between two events. workerQueue and eventTime are used if they are 0.
	queue int
	step  time.Duration
	// pause, if set, returns how long the run waits before event n beyond the step.
	pause func(w *worker, r *run, n int) time.Duration
	// keeps, if set, reports whether the worker goes on with a request whose channel is closed, as
	// some do.
	keeps func(w *worker) bool
	// crashes, if set, reports whether the worker crashes before event n.
	crashes func(r *run, n int) bool
}

// worker is a stand-in for one lifetime of a model worker. It is safe for concurrent use.
type worker struct {
	id, service, address string
	born                 int64
	journal              *journal
	record               *record
	workerParams

	mu      sync.Mutex
	running int
	waiting int
	conns   map[net.Conn]bool
	dead    bool
	slots   chan struct{}
	server  *http.Server
}

// startWorker starts a worker that listens on the address.
func startWorker(id, service, address string, p workerParams, j *journal, rec *record) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	if p.queue == 0 {
		p.queue = workerQueue
	}
	if p.step == 0 {
		p.step = eventTime
	}
	w := &worker{
		workerParams: p, id: id, service: service, address: address, born: time.Now().UnixMilli(), journal: j, record: rec,
		conns: map[net.Conn]bool{}, slots: make(chan struct{}, workerSlots),
	}
	w.server = &http.Server{Handler: w, ConnState: w.trackConn}
	go func() { _ = w.server.Serve(l) }() // it ends with crash
	rec.write("worker %s of service %s starts at %s", id, service, address)
	return w, nil
}

func (w *worker) trackConn(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// crash resets all channels and closes the port, as the end of the process does.
func (w *worker) crash() {
	w.mu.Lock()
	if w.dead {
		w.mu.Unlock()
		return
	}
	w.dead = true
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	w.mu.Unlock()
	w.record.write("worker %s of service %s ends", w.id, w.service)
	_ = w.server.Close()
}

// alive reports whether the worker has not crashed.
func (w *worker) alive() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.dead
}

// entry returns what the worker writes into the platform's store about itself.
func (w *worker) entry(sequence int) []byte {
	value, _ := json.Marshal(map[string]any{ // plain types only
		"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": workerSlots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "sequence": sequence, "born": w.born,
	})
	return value
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(headerInstance, w.id)
	h.Set(headerLoad, w.load())
	switch r.URL.Path {
	case healthPath:
		return
	case "/report":
		w.report(rw)
		return
	}
	id := r.Header.Get(headerRequest)
	h.Set(headerRequest, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		notRun(rw, http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		notRun(rw, http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !w.acquire(r.Context()) {
		notRun(rw, http.StatusServiceUnavailable)
		return
	}
	defer w.release()
	w.run(rw, r, id)
}

func notRun(rw http.ResponseWriter, status int) {
	rw.Header().Set(headerNotRun, "1")
	rw.WriteHeader(status)
}

func (w *worker) load() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,100", w.running, w.waiting, workerSlots)
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{ // a caller that has left asks again
		"stage": "both", "busy": false, "sequence": 1, "queued_requests": w.waiting, "running_requests": w.running,
		"kv_cache_used": 0, "kv_cache_total": 100000, "handles": 0, "state": "ready", "born": w.born,
	})
}

// acquire takes a slot, after a wait if the queue has room.
func (w *worker) acquire(ctx context.Context) bool {
	w.mu.Lock()
	if w.running+w.waiting >= workerSlots+w.queue {
		w.mu.Unlock()
		return false
	}
	w.waiting++
	w.mu.Unlock()
	acquired := false
	select {
	case w.slots <- struct{}{}:
		acquired = true
	case <-ctx.Done():
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
	if acquired {
		w.running++
	}
	return acquired
}

func (w *worker) release() {
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	<-w.slots
}

// run answers with the events that the path asks for, "/route/NUMBER/...", from the one after
// Last-Event-Id on.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string) {
	after, _ := strconv.Atoi(r.Header.Get(headerEvent)) // 0 without one
	one := &run{at: time.Now(), request: id, worker: w.id, service: w.service, path: r.URL.Path, after: after, events: eventsOf(r.URL.Path)}
	w.journal.add(one)
	w.record.write("worker %s of service %s runs %s, path %s, after event %d", w.id, w.service, id, r.URL.Path, after)
	if w.keeps != nil && w.keeps(w) {
		r = r.WithContext(context.WithoutCancel(r.Context()))
	}
	ctx, cancel := untilDeadline(r)
	defer cancel()
	rw.Header().Set(headerStamp, "stamp-"+id)
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := after + 1; n <= one.events; n++ {
		if w.crashes != nil && w.crashes(one, n) {
			w.crash()
			panic(http.ErrAbortHandler)
		}
		step := w.step
		if w.pause != nil {
			step += w.pause(w, one, n)
		}
		if !sleep(ctx, step) {
			w.record.write("worker %s drops %s before event %d: its channel is closed or its time is up", w.id, id, n)
			panic(http.ErrAbortHandler)
		}
		w.journal.worked(one)
		_, _ = io.WriteString(rw, event(id, n)) // a caller that has left is noticed above
		_ = http.NewResponseController(rw).Flush()
	}
	w.record.write("worker %s ends %s", w.id, id)
}

// sleep waits for d, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// untilDeadline returns the context of a request until the time that it names.
func untilDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

// event returns event n of a request's stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// eventsOf returns the number in the second element of a path.
func eventsOf(path string) int {
	elements := strings.Split(path, "/")
	if len(elements) < 3 {
		return 1
	}
	n, err := strconv.Atoi(elements[2])
	if err != nil {
		return 1
	}
	return n
}
