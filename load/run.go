package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sycamoretally/sycamoretally/client"
	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/demo"
	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
	"github.com/sycamoretally/sycamoretally/transport"
)

// Names of the services that a scenario's requests may use.
const (
	serviceModel = "drafting"
	servicePlain = "booking"
)

// policyRun is one policy's site and what is recorded of it.
type policyRun struct {
	scenario  *Scenario
	policy    *Policy
	site      *demo.Site
	client    *client.Client
	network   *Network
	recorder  *Recorder
	startedAt time.Time

	mu    sync.Mutex
	jobs  []string
	items int
}

// Run runs the scenario with every policy at the same time, each on a site of
// its own, and returns their results in order.
func Run(ctx context.Context, s *Scenario) (*Result, error) {
	runs := make([]*policyRun, len(s.Policies))
	defer func() {
		for _, r := range runs {
			if r != nil {
				r.client.Close()
				r.site.Close()
			}
		}
	}()
	for i := range s.Policies {
		r, err := start(ctx, s, &s.Policies[i])
		if err != nil {
			return nil, err
		}
		runs[i] = r
	}
	var group sync.WaitGroup
	for _, r := range runs {
		group.Go(func() { r.run(ctx) })
	}
	group.Wait()
	result := &Result{Scenario: s.Name, Seed: s.Seed}
	for _, r := range runs {
		result.Policies = append(result.Policies, r.result())
	}
	return result, nil
}

func start(ctx context.Context, s *Scenario, p *Policy) (*policyRun, error) {
	network := NewNetwork(duration(s.Site.Between))
	layout := demo.Layout{
		Entries: s.Site.Entries, Engines: s.Site.Engines, Services: s.Site.Services, Slots: s.Site.Slots,
		DataCentres: s.Site.DataCentres,
		Policy:      p.Settings,
		Engine: engine.Params{
			Width: s.Site.Slots, TokenTime: duration(s.Site.TokenTime), PrefillTime: duration(s.Site.PrefillTime),
			CacheTokens: s.Site.CacheTokens, ReportLag: duration(s.Site.ReportLag), RestartTime: duration(s.Site.RestartTime),
		},
		Dial: func(st *settings.Settings) transport.Dial {
			network.SetDataCentre(st.Process.HTTP, st.Process.DataCentre)
			network.SetDataCentre(st.Process.Peer, st.Process.DataCentre)
			return network.DialFrom(st.Process.DataCentre)
		},
	}
	site, err := demo.Start(layout)
	if err != nil {
		site.Close()
		return nil, err
	}
	r := &policyRun{scenario: s, policy: p, site: site, network: network, client: client.New(site.Client), recorder: NewRecorder()}
	if err := (&demo.Script{Client: r.client, Out: io.Discard}).Prepare(ctx); err != nil {
		r.client.Close()
		site.Close()
		return nil, err
	}
	return r, nil
}

// run sends every arrival at its time, whether or not earlier ones have been
// answered, and waits for the answers.
func (r *policyRun) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clients := r.newClients()
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	r.startedAt = time.Now()
	var group, background sync.WaitGroup
	if !r.policy.NoFaults {
		for _, f := range r.scenario.Faults {
			background.Go(func() { r.injectFault(ctx, f) })
		}
	}
	if !r.policy.NoJobs {
		for i, j := range r.scenario.Jobs {
			background.Go(func() { r.submitJob(ctx, i, j) })
		}
	}
	for i, a := range Arrivals(r.scenario, r.policy.NoLong) {
		if !r.sleepUntil(ctx, a.At) {
			break
		}
		group.Go(func() { r.send(ctx, clients[i%len(clients)], i, a) })
	}
	r.sleepUntil(ctx, duration(r.scenario.Duration))
	r.countItems(ctx)
	group.Wait()
	cancel()
	background.Wait()
}

// newClients returns a client for each entry, so that load is spread as a balancer
// would spread it; each falls back to the other entries.
func (r *policyRun) newClients() []*client.Client {
	var clients []*client.Client
	entries := r.site.Client.Entries
	for i := range entries {
		s := r.site.Client
		s.Entries = append(append([]string(nil), entries[i:]...), entries[:i]...)
		clients = append(clients, client.New(s))
	}
	return clients
}

func (r *policyRun) sleepUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.startedAt.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send runs one request. Its times count from the intended start, and include
// the delay to the caller both ways.
func (r *policyRun) send(ctx context.Context, c *client.Client, n int, a Arrival) {
	toCaller := duration(r.scenario.Site.Callers)
	pause.For(ctx, toCaller)
	intended := r.startedAt.Add(a.At)
	sample := Sample{Stream: a.Stream, At: a.At}
	var last time.Time
	token := func(string) {
		now := time.Now()
		if last.IsZero() {
			sample.First = now.Sub(intended) + toCaller
		} else {
			sample.Gaps = append(sample.Gaps, now.Sub(last))
		}
		last = now
	}
	err := r.call(ctx, c, n, a, token, &sample)
	sample.Whole = time.Since(intended) + toCaller
	if last.IsZero() {
		sample.First = sample.Whole
	}
	sample.Outcome = protocol.OutcomeOf(err)
	if a.At >= duration(r.scenario.WarmUp) {
		r.recorder.Add(sample)
	}
}

func (r *policyRun) call(ctx context.Context, c *client.Client, n int, a Arrival, token func(string), sample *Sample) error {
	if a.Service == servicePlain {
		key := fmt.Sprintf("%s-%d", a.Stream, n)
		_, err := c.Call(ctx, servicePlain, http.MethodPost, "/bookings", []byte(`{"slot":"`+key+`"}`), client.CallOptions{Key: key})
		return err
	}
	answer, err := c.Chat(ctx, &protocol.ChatRequest{
		Model: a.Service, MaxTokens: a.Tokens, Stream: true,
		Messages: []protocol.ChatMessage{{Role: "user", Content: a.Prompt}},
	}, client.CallOptions{}, token)
	if err == nil {
		sample.Wrong = string(answer.Body) != engine.Answer(a.Prompt, a.Tokens)
	}
	return err
}

func (r *policyRun) submitJob(ctx context.Context, n int, j Job) {
	if !r.sleepUntil(ctx, duration(j.At)) {
		return
	}
	var file bytes.Buffer
	for i := range j.Items {
		tokens := j.Tokens
		if j.LongShare > 0 && i%int(1/j.LongShare) == 0 {
			tokens *= j.LongFactor
		}
		body, _ := json.Marshal(protocol.ChatRequest{
			Model: serviceModel, MaxTokens: tokens,
			Messages: []protocol.ChatMessage{{Role: "user", Content: fmt.Sprintf("job %d item %d", n, i)}},
		})
		line, _ := json.Marshal(map[string]any{"custom_id": fmt.Sprint(i), "body": json.RawMessage(body)})
		file.Write(append(line, '\n'))
	}
	id, err := r.client.Upload(ctx, file.Bytes())
	if err != nil {
		return
	}
	due := "24h"
	if j.Due > 0 {
		due = duration(j.Due).String()
	}
	if job, err := r.client.Submit(ctx, id, due, fmt.Sprintf("job-%d", n)); err == nil {
		r.mu.Lock()
		r.jobs = append(r.jobs, job.ID)
		r.mu.Unlock()
	}
}

// countItems reads how many batch items were done when the arrivals ended.
func (r *policyRun) countItems(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range r.jobs {
		if j, err := r.client.Job(ctx, id); err == nil {
			r.items += j.Counts.Completed + j.Counts.Failed
		}
	}
}

func (r *policyRun) injectFault(ctx context.Context, f Fault) {
	if !r.sleepUntil(ctx, duration(f.At)) {
		return
	}
	until := duration(f.At) + duration(f.For)
	switch f.Kind {
	case FaultCrash:
		for _, e := range r.site.Engines[:f.Targets] {
			e.Crash()
		}
	case FaultSlow:
		for _, e := range r.site.Engines[:f.Targets] {
			e.SetSlowdown(f.Factor)
		}
		if f.For > 0 && r.sleepUntil(ctx, until) {
			for _, e := range r.site.Engines[:f.Targets] {
				e.SetSlowdown(1)
			}
		}
	case FaultCut:
		r.network.Isolate(fmt.Sprintf("dc-%c", 'a'+r.scenario.Site.DataCentres-1))
		if f.For > 0 && r.sleepUntil(ctx, until) {
			r.network.Isolate("")
		}
	}
}
