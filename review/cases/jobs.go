package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sycamoretally/sycamoretally/platform/platformtest"
)

// item is an item of a job as a caller sends it.
type item struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    []byte            `json:"body"`
	Tokens  int               `json:"tokens"`
}

// job is a submitted job.
type job struct {
	id    string
	host  string
	path  string
	items []item
}

// page is a page of a job's results.
type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next"`
	Results []result `json:"results"`
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// newJob returns a job of n items on the route.
func newJob(r platformtest.Route, n int) *job {
	j := &job{id: newID(), host: r.Host}
	j.path = r.PathPrefix + j.id
	for range n {
		id := newID()
		j.items = append(j.items, item{
			ID: id, Path: r.PathPrefix + id, Body: []byte("prompt of " + id), Tokens: 500,
			Headers: map[string]string{
				"X-Sycamoretally-Model": "m", "X-Sycamoretally-Token-Usage": "350,150",
				"X-Sycamoretally-Prompt-Prefix": "9c2e41:100," + id + ":250",
			},
		})
	}
	return j
}

// call sends one request to the gateway over a new connection. It returns status 0 if there
// was no answer.
func (s *site) call(g *machine, method, host, path, id string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+at(g.address, callerPort)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	req.Host = host
	if id != "" {
		req.Header.Set(platformtest.HeaderRequestID, id)
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := s.caller.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// submit sends the job until it is accepted, each time to the next gateway, as often as
// tries. It reports whether the job was accepted.
func (s *site) submit(j *job, first, tries int) bool {
	body, err := json.Marshal(map[string]any{"items": j.items})
	if err != nil {
		return false
	}
	for i := range tries {
		g := s.gateways[(first+i)%len(s.gateways)]
		status, _ := s.call(g, http.MethodPost, j.host, j.path, j.id, body)
		s.rec.note("job %s of %d items sent to %s: %d", j.id, len(j.items), g.name, status)
		if status == http.StatusAccepted {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// read reads one page of the job's results.
func (s *site) read(g *machine, j *job, after int) (int, page) {
	status, body := s.call(g, http.MethodGet, j.host, fmt.Sprintf("/lots/%s?after=%d", j.id, after), "", nil)
	var p page
	if status == http.StatusOK && json.Unmarshal(body, &p) != nil {
		status = 0
	}
	return status, p
}

// results reads all known results of the job from the gateways, one after another after
// each failure, until there are as many as items or the time is over.
func (s *site) results(j *job, limit time.Duration) []result {
	var list []result
	deadline := time.Now().Add(limit)
	for i := 0; len(list) < len(j.items) && time.Now().Before(deadline); i++ {
		g := s.gateways[i%len(s.gateways)]
		status, p := s.read(g, j, len(list))
		list = append(list, p.Results...)
		if status != http.StatusOK || len(p.Results) == 0 {
			time.Sleep(300 * time.Millisecond)
		}
	}
	s.rec.note("job %s: %d of %d results read", j.id, len(list), len(j.items))
	return list
}

// noteRuns writes the runs at the targets to the record, all those that wanted reports true
// for.
func (s *site) noteRuns(wanted func(platformtest.Run) bool) {
	for _, r := range s.journal.Runs() {
		if wanted(r) {
			s.rec.note("run at %s of %s, begun at %.3f: request %s, path %s, after event %d", r.Target, r.Service, r.Started.Sub(s.rec.begun).Seconds(), r.Request, r.Path, r.After)
		}
	}
}
