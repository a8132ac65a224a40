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
	// patience is how long a caller waits for an answer.
	patience = 3 * time.Second
	// callPause and jobPause are the longest times between two requests of a caller.
	callPause = 60 * time.Millisecond
	jobPause  = 1200 * time.Millisecond
	jobItems  = 6
	// submitTries bounds how often a caller sends a job.
	submitTries = 8
)

// verdict is what an answer told its caller.
type verdict int

const (
	// answered is a whole success, failed a whole failure, refused the promise that
	// nothing runs, and broken all else.
	answered verdict = iota
	failed
	refused
	broken
)

// sent is one request that a caller sent.
type sent struct {
	id      string
	kind    string
	gateway string
	begun   time.Time
	end     time.Time
	status  int
	verdict verdict
	// events is the number of the last whole event.
	events int
	err    string
}

// ledger collects what callers sent and got, and what was wrong with it.
type ledger struct {
	mu       sync.Mutex
	sent     []sent
	jobs     []*job
	problems []string
}

func (l *ledger) add(s sent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent = append(l.sent, s)
}

func (l *ledger) wrong(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.problems = append(l.problems, clock(time.Now())+" "+fmt.Sprintf(format, args...))
}

// caller sends requests one after another, over connections that it keeps open
// until the gateway ends them.
type caller struct {
	site   *site
	ledger *ledger
	name   string
	rng    *rand.Rand
	client *http.Client
	count  int
}

func newCaller(s *site, l *ledger, name string, rng *rand.Rand) *caller {
	return &caller{site: s, ledger: l, name: name, rng: rng, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2},
	}}
}

func (c *caller) nextID(kind string) string {
	c.count++
	return fmt.Sprintf("%s-%s-%d", kind, c.name, c.count)
}

// gateway picks a gateway, mostly one that says that it is ready.
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
		panic(err) // the URL is the test's own
	}
	r.GetBody = nil // so that the library sends nothing twice
	r.Host = host
	r.Header.Set(platformtest.HeaderRequestID, id)
	r.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(patience.Milliseconds(), 10))
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

// call sends a request with a plain answer.
func (c *caller) call(ctx context.Context, kind, method, prefix string) {
	id := c.nextID(kind)
	var body []byte
	if method == http.MethodPost {
		body = []byte("body of " + id)
	}
	s, text := c.send(ctx, method, prefix+id, id, kind, "", body)
	if s.verdict == answered && text != platformtest.Answer(id) {
		c.ledger.wrong("%s got another answer with status %d: %.60q", id, s.status, text)
	}
	c.ledger.add(s)
}

// send sends one request and reads its answer.
func (c *caller) send(ctx context.Context, method, path, id, kind, after string, body []byte) (sent, string) {
	ctx, cancel := context.WithTimeout(ctx, patience+500*time.Millisecond)
	defer cancel()
	d := c.gateway()
	r := c.request(ctx, method, path, id, d, body)
	if after != "" {
		r.Header.Set(platformtest.HeaderLastEvent, after)
	}
	s := sent{id: id, kind: kind, gateway: d.name, begun: time.Now(), verdict: broken}
	resp, err := c.client.Do(r)
	if err != nil {
		s.end, s.err = time.Now(), err.Error()
		return s, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	s.end, s.status = time.Now(), resp.StatusCode
	switch {
	case err != nil:
		s.err = err.Error()
	case s.status == http.StatusTooManyRequests || s.status == http.StatusServiceUnavailable:
		s.verdict = refused
	case s.status >= http.StatusMultipleChoices:
		s.verdict = failed
	default:
		s.verdict = answered
		if stamp := resp.Header.Get(platformtest.HeaderStamp); kind != jobKind && stamp != platformtest.Stamp(id) {
			c.ledger.wrong("%s got a success with the stamp %q", id, stamp)
		}
	}
	if s.status == http.StatusNotFound && kind != jobKind {
		c.ledger.wrong("%s got 404 though its route is there", id)
	}
	return s, string(text)
}

// stream sends a request for a stream; a resumable one goes on after its last
// event under a new ID, as callers do.
func (c *caller) stream(ctx context.Context, kind string) {
	prefix := map[string]string{"stream": "/s.20/", "resumable": "/r.20/"}[kind]
	key := c.nextID(kind)
	have, tries := 0, 1
	if kind == "resumable" {
		tries = 3
	}
	for try := range tries {
		id, after := fmt.Sprint(key, "-try", try), ""
		if have > 0 {
			after = strconv.Itoa(have)
		}
		s, text := c.send(ctx, http.MethodPost, prefix+key, id, kind, after, nil)
		s.events = have + c.checkEvents(s, key, have, text)
		c.ledger.add(s)
		have = s.events
		if s.verdict == answered || ctx.Err() != nil {
			return
		}
	}
}

// checkEvents checks that the text holds the events after those that the caller
// has, each once and in order, and all of them where the answer looks whole. It
// returns the number of whole events.
func (c *caller) checkEvents(s sent, key string, have int, text string) int {
	if s.status != http.StatusOK {
		return 0
	}
	want, whole := "", 0
	for n := have + 1; n <= streamEvents; n++ {
		want += platformtest.Event(key, n)
		if len(want) <= len(text) {
			whole++
		}
	}
	if !strings.HasPrefix(want, text) || s.verdict == answered && text != want {
		c.ledger.wrong("%s after event %d got %q", s.id, have, text)
	}
	return whole
}

const jobKind = "job"

// result is one result of a job as the wire shows it.
type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

// job is one job with what its caller knows of it.
type job struct {
	id    string
	items []string

	mu sync.Mutex
	// refusals and others count the answers to submissions.
	refusals, others int
	accepted         time.Time
	endAsked         time.Time
	ended            time.Time
	// results are those read so far, in their places.
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
		panic(err) // the job is the test's own
	}
	return body
}

// newJob makes a job, some of whose items a target can't do.
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

// runJob submits a job, reads its results for a while, and ends some.
func (c *caller) runJob(ctx context.Context) {
	j := c.newJob()
	c.ledger.mu.Lock()
	c.ledger.jobs = append(c.ledger.jobs, j)
	c.ledger.mu.Unlock()
	for range submitTries {
		s, _ := c.send(ctx, http.MethodPost, "/j.30/"+j.id, j.id, jobKind, "", j.body())
		j.note(s)
		if s.verdict == answered || ctx.Err() != nil {
			break
		}
		rest(ctx, 200*time.Millisecond)
	}
	end := c.rng.IntN(4) == 0
	for range 2 + c.rng.IntN(4) {
		c.readJob(ctx, j, c.gateway())
		rest(ctx, 300*time.Millisecond)
	}
	if end && !j.accepted.IsZero() {
		c.endJob(ctx, j)
	}
}

func (j *job) note(s sent) {
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case s.verdict == answered:
		j.accepted = s.end
	case s.verdict == refused:
		j.refusals++
	default:
		j.others++
	}
}

func (c *caller) endJob(ctx context.Context, j *job) {
	j.mu.Lock()
	j.endAsked = time.Now()
	j.mu.Unlock()
	for range submitTries {
		s, _ := c.send(ctx, http.MethodDelete, "/lots/"+j.id, c.nextID("end"), jobKind, "", nil)
		if s.verdict == answered {
			j.mu.Lock()
			j.ended = s.end
			j.mu.Unlock()
			return
		}
		if rest(ctx, 200*time.Millisecond); ctx.Err() != nil {
			return
		}
	}
}

// readJob reads the job's results from a position at one gateway and compares
// them with those read before. It reports whether all are there.
func (c *caller) readJob(ctx context.Context, j *job, d *daemon) bool {
	ctx, cancel := context.WithTimeout(ctx, patience)
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
		c.ledger.wrong("%s: %s knows nothing at position %d, accepted %v before", j.id, d.name, after, begun.Sub(accepted))
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
		c.ledger.wrong("%s: %s says total %d and next %d", j.id, d.name, page.Total, page.Next)
	}
	c.compare(j, d, after, page.Results)
	return page.Next == page.Total
}

// compare holds results against those known, and keeps new ones.
func (c *caller) compare(j *job, d *daemon, after int, results []result) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i, r := range results {
		at := after + i
		if at < len(j.results) {
			if j.results[at] != r {
				c.ledger.wrong("%s: position %d is %s at %s and was %s", j.id, at, r.ID, d.name, j.results[at].ID)
			}
			continue
		}
		if slices.ContainsFunc(j.results, func(known result) bool { return known.ID == r.ID }) || !slices.Contains(j.items, r.ID) {
			c.ledger.wrong("%s: item %s stands twice or is none of the job", j.id, r.ID)
		}
		j.results = append(j.results, r)
	}
}

// wholeText is the text of an item's results.
func wholeText(item string) string {
	var lines []string
	for n := 1; n <= itemEvents; n++ {
		lines = append(lines, fmt.Sprintf("%s-%d", item, n))
	}
	return strings.Join(lines, "\n")
}
