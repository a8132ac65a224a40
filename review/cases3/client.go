package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// client sends requests as the platform's clients do, each attempt on a new channel.
type client struct {
	site *site
	http *http.Client
}

func newClient(s *site) *client {
	return &client{site: s, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// newID returns an ID of a request, a job or an item.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client got for one attempt.
type answer struct {
	// id is that of the attempt, sent and ended are its times.
	id          string
	sent, ended time.Time
	// status is 0 if the channel ended before an answer. whole is set if the body was complete.
	status int
	whole  bool
	body   []byte
	header http.Header
}

// call sends one attempt to a gateway.
func (c *client) call(p *process, method, path, id string, header map[string]string, body []byte, limit time.Duration) (got answer) {
	got = answer{id: id, sent: time.Now()}
	defer func() { got.ended = time.Now() }()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", p.address, frontPort, path), bytes.NewReader(body))
	if err != nil {
		return got
	}
	req.Host = host
	if id != "" {
		req.Header.Set(headerRequest, id)
	}
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		c.site.record.write("client: %s %s %s at %s: no answer (%v)", method, path, id, p.name, err)
		return got
	}
	defer func() { _ = resp.Body.Close() }()
	got.body, err = io.ReadAll(resp.Body)
	got.status, got.whole, got.header = resp.StatusCode, err == nil, resp.Header
	c.site.record.write("client: %s %s %s at %s: %d, %d bytes, whole %t", method, path, id, p.name, got.status, len(got.body), got.whole)
	return got
}

// item is an item of a batch job as clients send it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a batch job of a client.
type job struct {
	id    string
	path  string
	items []item
	taken bool
}

// newJob returns a batch job whose items have the given number of events.
func newJob(prefix string, items, events int) *job {
	j := &job{id: newID()}
	j.path = prefix + j.id
	for range items {
		id := newID()
		j.items = append(j.items, item{
			ID: id, Path: fmt.Sprintf("%s%d/%s", prefix, events, id), Headers: map[string]string{"X-Sycamoretally-Model": "m"},
			Body: base64.StdEncoding.EncodeToString([]byte("prompt of " + id)), Tokens: 350 + events,
		})
	}
	return j
}

// submit sends the job until a gateway has accepted it.
func (c *client) submit(gateways []*process, j *job) {
	body, _ := json.Marshal(map[string]any{"items": j.items}) // plain types only
	for attempt := range 20 {
		p := gateways[attempt%len(gateways)]
		a := c.call(p, http.MethodPost, j.path, j.id, map[string]string{"Content-Type": "application/json"}, body, 5*time.Second)
		if a.status == http.StatusAccepted {
			j.taken = true
			return
		}
		time.Sleep(retryAfter(a.header))
	}
}

// retryAfter returns how long the client waits before its next attempt.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 200 * time.Millisecond
	}
	return time.Duration(seconds * float64(time.Second))
}

// streamLimit is how long a client of a stream waits.
const streamLimit = 5 * time.Second

// stream sends one attempt of a stream with the given number of events.
func (c *client) stream(p *process, prefix string, events int) answer {
	id := newID()
	header := map[string]string{
		headerDeadline: strconv.FormatInt(streamLimit.Milliseconds(), 10), "X-Sycamoretally-Model": "m", "X-Sycamoretally-Token-Usage": fmt.Sprintf("450,%d", events),
	}
	return c.call(p, http.MethodPost, fmt.Sprintf("%s%d/%s", prefix, events, id), id, header, []byte("prompt of "+id), streamLimit)
}

// streamOften sends streams to the gateways in turn, until stop is closed.
func (c *client) streamOften(gateways []*process, prefix string, gap time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		go c.stream(gateways[n%len(gateways)], prefix, 30)
	}
}
