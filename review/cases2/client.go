package main

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callTimeout is how long a client waits for the answer to one call.
	callTimeout = 4 * time.Second
	// readInterval is the time between two reads of a job's results.
	readInterval = 500 * time.Millisecond
	// promptTokens and outputTokens are the tokens of an item's prompt and of its output.
	promptTokens = 340
	outputTokens = eventsPerItem
)

// job is a batch job as its client knows it.
type job struct {
	id string
	// folder is the path below the route's prefix under which the job is submitted.
	folder string
	// prompts holds the prompt tokens of items that have more than promptTokens.
	prompts  map[string]int
	items    []string
	accepted bool
	results  []result
}

type result struct {
	ID    string `json:"id"`
	State string `json:"state"`
	Text  string `json:"text"`
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call sends one call to a gateway on a channel of its own.
func (s *site) call(gateway int, method, path, id string, body []byte) (int, []byte) {
	address := s.gateways[gateway%len(s.gateways)]
	r, err := http.NewRequest(method, fmt.Sprint("http://", address, ":", frontPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = siteHost
	if id != "" {
		r.Header.Set(headerID, id)
		r.Header.Set("Content-Type", "application/json")
	}
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(r)
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

// submit submits a job until it is accepted, each time at another gateway.
func (s *site) submit(j *job) {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var wire struct {
		Items []item `json:"items"`
	}
	for n, id := range j.items {
		prompt := max(promptTokens, j.prompts[id])
		wire.Items = append(wire.Items, item{
			ID: id, Path: fmt.Sprint(batchRoute, n, "/91c4"), Body: base64.StdEncoding.EncodeToString([]byte("prompt " + fmt.Sprint(n))), Tokens: prompt + outputTokens,
			Headers: map[string]string{"X-Sycamoretally-Model": "m", headerUsage: fmt.Sprint(prompt, ",", outputTokens)},
		})
	}
	body, _ := json.Marshal(wire)
	for try := range 5 {
		status, _ := s.call(try, http.MethodPost, batchRoute+j.folder+j.id, j.id, body)
		s.record.write("job %s of %d items sent to gateway %d: %d", j.id, len(j.items), try%len(s.gateways)+1, status)
		if status == http.StatusAccepted {
			j.accepted = true
			return
		}
		time.Sleep(readInterval)
	}
}

// read reads the results of the job that are not known yet.
func (s *site) read(j *job, gateway int) {
	status, body := s.call(gateway, http.MethodGet, fmt.Sprintf("/lots/%s?after=%d", j.id, len(j.results)), "", nil)
	if status != http.StatusOK {
		s.record.write("results of job %s from %d on asked of gateway %d: %d", j.id, len(j.results), gateway%len(s.gateways)+1, status)
		return
	}
	var page struct {
		Total   int      `json:"total"`
		Results []result `json:"results"`
	}
	if json.Unmarshal(body, &page) != nil {
		return
	}
	for _, r := range page.Results {
		s.record.write("job %s position %d: item %.40s %s, %d bytes", j.id, len(j.results), r.ID, r.State, len(r.Text))
		j.results = append(j.results, r)
	}
}

// readAll reads the results of the jobs until all are listed or the time is up. It returns
// whether all are.
func (s *site) readAll(jobs []*job, limit time.Duration) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(readInterval) {
		missing := 0
		for n, j := range jobs {
			if j.accepted && len(j.results) < len(j.items) {
				s.read(j, n)
				missing += len(j.items) - len(j.results)
			}
		}
		if missing == 0 || time.Now().After(deadline) {
			return missing == 0
		}
	}
}

// output returns the whole output of an item.
func output(item string) string {
	pieces := make([]string, 0, eventsPerItem)
	for n := 1; n <= eventsPerItem; n++ {
		pieces = append(pieces, piece(model, item, n))
	}
	return strings.Join(pieces, "\n")
}

// newJob returns a job of n items.
func newJob(n int) *job {
	j := &job{id: newID(), prompts: map[string]int{}}
	for range n {
		j.items = append(j.items, newID())
	}
	return j
}
