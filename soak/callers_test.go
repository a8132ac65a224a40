package soak

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

const (
	onlineCallers = 8
	jobCallers    = 3
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// callPause and jobPause are the longest pauses of a caller between two requests or
	// two jobs.
	callPause = 60 * time.Millisecond
	jobPause  = 1200 * time.Millisecond
	jobItems  = 6
	// submitAttempts is how often a caller tries to submit or cancel a job.
	submitAttempts = 8
)

// outcome classifies an answer as its caller saw it.
type outcome int

const (
	// answered is a complete success, failed a complete error answer, refused a refusal
	// that guarantees that nothing runs, and broken anything else.
	answered outcome = iota
	failed
	refused
	broken
)

// sentRequest is one request that a caller sent, with its answer.
type sentRequest struct {
	id      string
	kind    string
	gateway string
	begun   time.Time
	end     time.Time
	status  int
	outcome outcome
	// events is the number of the last complete event.
	events int
	err    string
}

// recorder collects the requests and jobs of all callers, and the violations that
// were found.
type recorder struct {
	mu       sync.Mutex
	sent     []sentRequest
	jobs     []*job
	problems []string
	// announced is when a gateway first passed on an answer in which a target announced
	// that it leaves.
	announced map[announcement]time.Time
}

// announcement is a target's announcement that it leaves, as a gateway passed it on.
type announcement struct {
	gateway string
	target  string
}

func newRecorder() *recorder { return &recorder{announced: map[announcement]time.Time{}} }

// addAnnouncement records that the gateway passed on the target's announcement.
func (l *recorder) addAnnouncement(gateway, target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := announcement{gateway, target}
	if l.announced[key].IsZero() {
		l.announced[key] = at
	}
}

func (l *recorder) add(s sentRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

// recordViolation records a violation of a guarantee.
func (l *recorder) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, formatTime(time.Now())+" "+fmt.Sprintf(format, args...))
}

// caller sends requests one after another, over connections that it keeps open until
// the gateway closes them.
type caller struct {
	site     *site
	recorder *recorder
	name     string
	rng      *rand.Rand
	client   *http.Client
	count    int
}

func newCaller(s *site, l *recorder, name string, rng *rand.Rand) *caller {
	return &caller{site: s, recorder: l, name: name, rng: rng, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2},
	}}
}

func (c *caller) nextID(kind string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", kind, c.name, c.count)
}

// gateway returns a random gateway, preferring one that reports itself as ready.
func (c *caller) gateway() *daemon {
	d := pick(c.rng, c.site.gateways)
	if c.rng.IntN(4) == 0 || ready(d) {
		return d
	}
	return pick(c.rng, c.site.gateways)
}

func (c *caller) request(ctx context.Context, method, path, id string, d *daemon, body []byte) *http.Request {
	url := fmt.Sprint("http://", d.address, ":", callerPort, path)
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		panic(err) // the URL is built by the test
	}
	r.GetBody = nil // keeps net/http from sending the request again
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, id)
	r.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	return r
}

// callOnline sends one online request of a random kind.
func (c *caller) callOnline(ctx context.Context) {
	kind := pick(c.rng, []string{"unsafe", "safe", "moving", "stream", "resumable", "resumable"})
	switch kind {
	case "unsafe":
		c.call(ctx, kind, http.MethodPost, "/u/")
	case "safe":
		c.call(ctx, kind, http.MethodGet, "/g/")
	case "moving":
		c.call(ctx, kind, http.MethodGet, "/m/")
	default:
		c.stream(ctx, kind)
	}
}

// call sends a request with a plain answer and checks the answer.
func (c *caller) call(ctx context.Context, kind, method, prefix string) {
	id := c.nextID(kind)
	var body []byte
	if method == http.MethodPost {
		body = []byte("body of " + id)
	}
	s, text := c.send(ctx, method, prefix+id, id, kind, "", body)
	if s.outcome == answered && text != platformtest.Answer(id) {
		c.recorder.recordViolation("%s got a wrong answer with status %d: %.60q", id, s.status, text)
	}
	c.recorder.add(s)
}

// send sends one request and reads its answer.
func (c *caller) send(ctx context.Context, method, path, id, kind, after string, body []byte) (sentRequest, string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+500*time.Millisecond)
	defer cancel()
	d := c.gateway()
	r := c.request(ctx, method, path, id, d, body)
	if after != "" {
		r.Header.Set(platformtest.HeaderLastEvent, after)
	}
	s := sentRequest{id: id, kind: kind, gateway: d.name, begun: time.Now(), outcome: broken}
	resp, err := c.client.Do(r)
	if err != nil {
		s.end, s.err = time.Now(), err.Error()
		return s, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	s.end, s.status = time.Now(), resp.StatusCode
	if err == nil && resp.Header.Get(platformtest.HeaderLeaving) != "" {
		c.recorder.addAnnouncement(d.name, resp.Header.Get(platformtest.HeaderInstance), s.end)
	}
	switch {
	case err != nil:
		s.err = err.Error()
	case s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable:
		s.outcome = refused
	case s.status >= http.StatusMultipleChoices:
		s.outcome = failed
	default:
		s.outcome = answered
		if stamp := resp.Header.Get(platformtest.HeaderStamp); kind != jobKind && stamp != platformtest.Stamp(id) {
			c.recorder.recordViolation("%s got a success with the wrong stamp %q", id, stamp)
		}
	}
	if s.status == http.StatusNotFound && kind != jobKind {
		c.recorder.recordViolation("%s got status 404 although its route exists", id)
	}
	return s, string(text)
}

// stream sends a request for a stream. A resumable one is resumed after its last
// event under a new ID, as callers do.
func (c *caller) stream(ctx context.Context, kind string) {
	prefix := map[string]string{"stream": "/s.20/", "resumable": "/r.20/"}[kind]
	key := c.nextID(kind)
	received, attempts := 0, 1
	if kind == "resumable" {
		attempts = 3
	}
	for attempt := range attempts {
		id, after := fmt.Sprint(key, "-try", attempt), ""
		if received > 0 {
			after = strconv.Itoa(received)
		}
		s, text := c.send(ctx, http.MethodPost, prefix+key, id, kind, after, nil)
		s.events = received + c.checkEvents(s, key, received, text)
		c.recorder.add(s)
		received = s.events
		if s.outcome == answered || ctx.Err() != nil {
			return
		}
	}
}

// checkEvents checks that text holds the events after the received ones, each once
// and in order, and all of them if the answer is complete. It returns the number of
// complete events.
func (c *caller) checkEvents(s sentRequest, key string, received int, text string) int {
	if s.status != http.StatusOK {
		return 0
	}
	want, complete := "", 0
	for n := received + 1; n <= streamEvents; n++ {
		want += platformtest.Event(key, n)
		if len(want) <= len(text) {
			complete++
		}
	}
	if !strings.HasPrefix(want, text) || s.outcome == answered && text != want {
		c.recorder.recordViolation("%s after event %d got %q", s.id, received, text)
	}
	return complete
}

const jobKind = "job"

// result is one result of a job in the JSON of the answer.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// job is one job with the state that its caller has observed.
type job struct {
	id    string
	items []string

	mu sync.Mutex
	// refusals counts the submissions that were refused, otherAnswers those that were
	// neither refused nor accepted.
	refusals, otherAnswers int
	accepted               time.Time
	cancelRequested        time.Time
	cancelled              time.Time
	// results are the results read so far, in their order.
	results []result
}

func (j *job) body() []byte {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var items []item
	for _, id := range j.items {
		items = append(items, item{
			ID: id, Path: "/j.30/" + id, Headers: map[string]string{"X-Kind": "soak"},
			Body: base64.StdEncoding.EncodeToString([]byte("body of " + id)), Tokens: itemEvents,
		})
	}
	body, err := json.Marshal(map[string]any{"items": items})
	if err != nil {
		panic(err) // the job is built by the test
	}
	return body
}

// newJob returns a job with some items at random that targets refuse or fail.
func (c *caller) newJob() *job {
	id := c.nextID(jobKind)
	j := &job{id: id}
	for i := range jobItems {
		key := fmt.Sprintf("%s-item%d", id, i)
		switch c.rng.IntN(20) {
		case 0:
			key = platformtest.KeyPrefixRejected + key
		case 1:
			key = platformtest.KeyPrefixFailing + key
		}
		j.items = append(j.items, key)
	}
	return j
}

// runJob submits a job, reads its results for a while, and cancels one job in four.
func (c *caller) runJob(ctx context.Context) {
	j := c.newJob()
	c.recorder.mu.Lock()
	c.recorder.jobs = append(c.recorder.jobs, j)
	c.recorder.mu.Unlock()
	for range submitAttempts {
		s, _ := c.send(ctx, http.MethodPost, "/j.30/"+j.id, j.id, jobKind, "", j.body())
		j.recordSubmission(s)
		if s.outcome == answered || ctx.Err() != nil {
			break
		}
		sleep(ctx, 200*time.Millisecond)
	}
	end := c.rng.IntN(4) == 0
	for range 2 + c.rng.IntN(4) {
		c.readJob(ctx, j, c.gateway())
		sleep(ctx, 300*time.Millisecond)
	}
	if end && !j.accepted.IsZero() {
		c.cancelJob(ctx, j)
	}
}

func (j *job) recordSubmission(s sentRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case s.outcome == answered:
		j.accepted = s.end
	case s.outcome == refused:
		j.refusals++
	default:
		j.otherAnswers++
	}
}

func (c *caller) cancelJob(ctx context.Context, j *job) {
	j.mu.Lock()
	j.cancelRequested = time.Now()
	j.mu.Unlock()
	for range submitAttempts {
		s, _ := c.send(ctx, http.MethodDelete, "/lots/"+j.id, c.nextID("end"), jobKind, "", nil)
		if s.outcome == answered {
			j.mu.Lock()
			j.cancelled = s.end
			j.mu.Unlock()
			return
		}
		if sleep(ctx, 200*time.Millisecond); ctx.Err() != nil {
			return
		}
	}
}

// readJob reads the job's results from a random position at one gateway and compares
// them with those read before. It reports whether all results are available.
func (c *caller) readJob(ctx context.Context, j *job, d *daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	j.mu.Lock()
	known := len(j.results)
	accepted := j.accepted
	j.mu.Unlock()
	after := c.rng.IntN(known + 1)
	begun := time.Now()
	resp, err := c.client.Do(c.request(ctx, http.MethodGet, fmt.Sprint("/lots/", j.id, "?after=", after), c.nextID("read"), d, nil))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound && !accepted.IsZero() {
		c.recorder.recordViolation("%s: %s returned status 404 for position %d, %v after the job was accepted", j.id, d.name, after, begun.Sub(accepted))
	}
	var page struct {
		Total   int      `json:"total"`
		Next    int      `json:"next"`
		Results []result `json:"results"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&page) != nil {
		return false
	}
	if page.Total != len(j.items) || page.Next != after+len(page.Results) {
		c.recorder.recordViolation("%s: %s returned a page with total %d and next %d", j.id, d.name, page.Total, page.Next)
	}
	c.compareResults(j, d, after, page.Results)
	return page.Next == page.Total
}

// compareResults compares results with those read before, and keeps new ones.
func (c *caller) compareResults(j *job, d *daemon, after int, results []result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, r := range results {
		at := after + i
		if at < len(j.results) {
			if j.results[at] != r {
				c.recorder.recordViolation("%s: the result at position %d is %s at %s, and was %s before", j.id, at, r.ID, d.name, j.results[at].ID)
			}
			continue
		}
		if slices.ContainsFunc(j.results, func(known result) bool { return known.ID == r.ID }) || !slices.Contains(j.items, r.ID) {
			c.recorder.recordViolation("%s: item %s has two results or does not belong to the job", j.id, r.ID)
		}
		j.results = append(j.results, r)
	}
}

// expectedText returns the expected text of an item's result.
func expectedText(item string) string {
	var lines []string
	for n := 1; n <= itemEvents; n++ {
		lines = append(lines, fmt.Sprintf("%s-%d", item, n))
	}
	return strings.Join(lines, "\n")
}
