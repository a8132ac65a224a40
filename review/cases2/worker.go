package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	healthPath = "/health"

	headerID       = "X-Sycamoretally-Request-Id"
	headerExpect   = "X-Sycamoretally-Expect-Instance"
	headerInstance = "X-Sycamoretally-Instance-Id"
	headerStamp    = "X-Sycamoretally-Response-Stamp"
	headerNotRun   = "X-Sycamoretally-Not-Run"
	headerLoad     = "X-Sycamoretally-Server-Load"
	headerLast     = "Last-Event-Id"
	headerUsage    = "X-Sycamoretally-Token-Usage"

	// memoryTokens is the size of a worker's memory.
	memoryTokens = 101_495

	// eventsPerItem is the number of events in the output of an item, eventsPerStream that in
	// the answer to a request on the streaming route.
	eventsPerItem   = 200
	eventsPerStream = 30
)

// worker is a stand-in for a model worker, as PROTOCOL.md describes it.
type worker struct {
	id        string
	service   string
	address   string
	server    *http.Server
	born      int64
	record    *record
	eventTime time.Duration
	slots     chan struct{}
	// down is set once the worker has crashed.
	down atomic.Bool
	// spoil, if set, reports after which event the answer to this run is spoiled, 0 for never.
	spoil func(run int) int

	mu      sync.Mutex
	running int
	runs    int
	// paths holds the path of each request that the worker has run.
	paths map[string]string
}

func (w *worker) addRun(id, path string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.paths == nil {
		w.paths = map[string]string{}
	}
	w.paths[id] = path
}

// crash ends the worker. It sends nothing any more.
func (w *worker) crash() {
	w.down.Store(true)
	_ = w.server.Close()
	w.record.write("worker %s of service %s at %s crashes for good", w.id, w.service, w.address)
}

// ran returns the paths of the requests that the worker has run, by their IDs.
func (w *worker) ran() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.paths)
}

// piece returns the data of an event that a worker of the service makes for a request.
func piece(service, request string, n int) string {
	return fmt.Sprintf("%s-%.16s-%d", service, request, n)
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set(headerInstance, w.id)
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d,100", w.busy(), cap(w.slots)))
	switch r.URL.Path {
	case "/report":
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"stage":"both","state":"ready","born":%d,"queued_requests":0,"running_requests":%d}`, w.born, w.busy())
		return
	case healthPath:
		return
	}
	id := r.Header.Get(headerID)
	h.Set(headerID, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		w.refuse(rw, http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if tokens := usage(r.Header.Get(headerUsage)); tokens > memoryTokens {
		w.record.write("worker %s rejects %.40s: %d tokens", w.id, id, tokens)
		w.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	after := 0
	if last := r.Header.Get(headerLast); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil || n < 0 {
			w.refuse(rw, http.StatusBadRequest)
			return
		}
		after = n
	}
	select {
	case w.slots <- struct{}{}:
	default:
		w.refuse(rw, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.run(rw, r, id, after)
}

// usage returns the prompt tokens and the maximum output tokens of a request, summed.
func usage(header string) int {
	prompt, output, _ := strings.Cut(header, ",")
	p, _ := strconv.Atoi(prompt)
	o, _ := strconv.Atoi(output)
	return p + o
}

func (w *worker) refuse(rw http.ResponseWriter, status int) {
	rw.Header().Set(headerNotRun, "1")
	rw.WriteHeader(status)
}

func (w *worker) busy() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.running
}

// begin counts a run and returns its number at this worker.
func (w *worker) begin() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running++
	w.runs++
	return w.runs
}

func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// run writes the events of an item from after+1 on.
func (w *worker) run(rw http.ResponseWriter, r *http.Request, id string, after int) {
	number := w.begin()
	defer w.end()
	spoiled := 0
	if w.spoil != nil {
		spoiled = w.spoil(number)
	}
	w.record.write("worker %s of service %s runs %.40s at %s after event %d", w.id, w.service, id, r.URL.Path, after)
	w.addRun(id, r.URL.Path)
	events := eventsPerItem
	if strings.HasPrefix(r.URL.Path, streamRoute) {
		events = eventsPerStream
	}
	rw.Header().Set(headerStamp, "stamp-"+strconv.Itoa(number))
	rw.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(rw).Flush
	for n := after + 1; n <= events; n++ {
		select {
		case <-time.After(w.eventTime):
		case <-r.Context().Done():
			w.record.write("worker %s: %.40s was left by its caller before event %d", w.id, id, n)
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, piece(w.service, id, n))
		_ = flush()
		if n == spoiled {
			w.spoilAnswer(rw, id, n)
		}
	}
	w.record.write("worker %s finished %.40s", w.id, id)
}

// spoilAnswer sends the last events once more and breaks the answer off.
func (w *worker) spoilAnswer(rw http.ResponseWriter, id string, n int) {
	for again := max(1, n-2); again <= n; again++ {
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", again, piece(w.service, id, again))
	}
	_ = http.NewResponseController(rw).Flush()
	w.record.write("worker %s sent events %d to %d of item %.40s once more and broke off", w.id, max(1, n-2), n, id)
	time.Sleep(5 * time.Millisecond)
	panic(http.ErrAbortHandler)
}
