package gateway_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/pause"
	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// decoder decodes every configuration record as the test's configuration, and the value
// of a target's record as the name of its service.
type decoder struct{ config *fleet.Configuration }

func (d decoder) Configuration(fleet.Record) (*fleet.Configuration, error) { return d.config, nil }

func (decoder) Target(r fleet.Record) (*fleet.Target, error) {
	if len(r.Value) == 0 {
		return nil, nil
	}
	return &fleet.Target{ID: r.Key, Service: string(r.Value), Address: r.Key}, nil
}

// step is what a scripted target does with one attempt.
type step struct {
	err     error
	verdict fleet.Verdict
	status  int
	// delay is the time before the first event.
	delay time.Duration
	// gap is the time between the first event and the second, and headDelay that before the
	// head. Both end with the attempt.
	gap       time.Duration
	headDelay time.Duration
	// events are sent as a stream. Then the stream breaks off if broken is set, sends
	// nothing until the attempt is cancelled if silent is set, and ends otherwise.
	events []string
	broken bool
	silent bool
	// endless is sent again and again after the events, until the attempt is cancelled, with
	// the number of the event in place of nextNumber.
	endless  string
	pause    time.Duration
	unsigned bool
	leaving  bool
	// contentType is that of the answer.
	contentType string
}

// sender is a fake fleet.Sender whose attempts follow the steps in order, whichever
// target they are sent to.
type sender struct {
	mu    sync.Mutex
	steps []step
	sent  []fleet.Attempt
	// lastReads counts the reads of the answer to the last attempt.
	lastReads *atomic.Int64
	// before, if set, is called before each attempt.
	before func()
}

// next records the attempt and returns its step.
func (s *sender) next(a fleet.Attempt) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.before != nil {
		s.before()
	}
	s.sent = append(s.sent, a)
	next := step{err: fleet.ErrNotDelivered.New("no step left")}
	if len(s.steps) > 0 {
		next, s.steps = s.steps[0], s.steps[1:]
	}
	return next
}

func (s *sender) Send(ctx context.Context, a fleet.Attempt) (*fleet.Answer, error) {
	next := s.next(a)
	if next.headDelay > 0 {
		pause.For(ctx, next.headDelay)
		if ctx.Err() != nil {
			return nil, fleet.ErrAnswerBroken.New("closed")
		}
	}
	if next.err != nil {
		return nil, next.err
	}
	status := max(next.status, http.StatusOK)
	header := http.Header{}
	if next.contentType != "" {
		header.Set("Content-Type", next.contentType)
	}
	body := &script{ctx: ctx, step: next}
	s.mu.Lock()
	s.lastReads = &body.reads
	s.mu.Unlock()
	return &fleet.Answer{
		Verdict: next.verdict, Status: status, Header: header, Signed: !next.unsigned, Leaving: next.leaving, Length: -1,
		Body: body, Close: func() {}, Discard: func() {},
	}, nil
}

// read returns the number of attempts, and how often the answer to the last one was read.
func (s *sender) read() (attempts int, reads int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent), s.lastReads.Load()
}

// firstTarget returns the ID of the target that got the first attempt, empty if there was none.
func (s *sender) firstTarget() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sent) == 0 {
		return ""
	}
	return s.sent[0].Target.ID
}

// nextNumber stands for the number of an event: 2 for the first one after the step's events.
const nextNumber = "<number>"

// script is the body of an answer that follows a step.
type script struct {
	ctx  context.Context
	step step
	// read is the number of events that were read, and repeated that of events sent in place of
	// nextNumber.
	read     int
	repeated int
	reads    atomic.Int64
}

// Read implements io.Reader.
func (s *script) Read(p []byte) (int, error) {
	s.reads.Add(1)
	time.Sleep(s.step.delay)
	s.step.delay = 0
	if err := s.ctx.Err(); err != nil {
		return 0, err
	}
	if s.read++; s.read == 2 && s.step.gap > 0 {
		pause.For(s.ctx, s.step.gap)
		if s.ctx.Err() != nil {
			return 0, errors.New("closed")
		}
	}
	if len(s.step.events) > 0 {
		n := copy(p, s.step.events[0])
		s.step.events = s.step.events[1:]
		return n, nil
	}
	if s.step.endless != "" {
		time.Sleep(s.step.pause)
		s.repeated++
		return copy(p, strings.ReplaceAll(s.step.endless, nextNumber, strconv.Itoa(1+s.repeated))), nil
	}
	if s.step.silent {
		<-s.ctx.Done()
		return 0, errors.New("closed")
	}
	if s.step.broken {
		return 0, io.ErrUnexpectedEOF
	}
	return 0, io.EOF
}

// sink collects an answer.
type sink struct {
	status int
	body   bytes.Buffer
}

func (s *sink) Begin(a *fleet.Answer) error {
	s.status = a.Status
	return nil
}

func (s *sink) Write(p []byte) error {
	s.body.Write(p)
	return nil
}

func events(from, to int) []string {
	var list []string
	for i := from; i <= to; i++ {
		list = append(list, fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i))
	}
	return list
}

const fullStream = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n"

var routes = map[string]*fleet.Route{
	"resumable": {Name: "resumable", Host: "h", Prefix: "/r/", Kind: fleet.KindStream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"quick":     {Name: "quick", Host: "h", Prefix: "/q/", Kind: fleet.KindStream, Resumable: true, MaxAttempts: 2, LatencyObjective: 300 * time.Millisecond, Timeout: 5 * time.Second, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"stream":    {Name: "stream", Host: "h", Prefix: "/s/", Kind: fleet.KindStream, MaxAttempts: 2, Timeout: 5 * time.Second, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"safe":      {Name: "safe", Host: "h", Prefix: "/safe/", Kind: fleet.KindSafe, MaxAttempts: 3, Timeout: 3 * time.Second, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"unsafe":    {Name: "unsafe", Host: "h", Prefix: "/u/", Kind: fleet.KindUnsafe, MaxAttempts: 3, Timeout: 3 * time.Second, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"jobs":      {Name: "jobs", Host: "h", Prefix: "/j/", Kind: fleet.KindBatch, MaxAttempts: 3, TokenQuota: 100, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
	"bulk":      {Name: "bulk", Host: "h", Prefix: "/b/", Kind: fleet.KindBatch, MaxAttempts: 3, TokenQuota: 1e6, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}},
}

// keepResults is the promised time for which the results of a job stay readable.
const keepResults = 2 * time.Minute

// fixture is a running gateway with its store and the fake sender of its targets.
type fixture struct {
	t *testing.T
	*gateway.Gateway
	store  *fleetstore.Store
	sender *sender
	// ended holds the addresses at which nothing listens any more.
	ended *sync.Map
}

// newStore returns a store with a configuration and six targets.
func newStore(t *testing.T) *fleetstore.Store {
	t.Helper()
	store := fleetstore.New()
	put := func(topic fleet.Topic, key, value string) {
		_, err := store.Append(t.Context(), topic, fleet.AnyOffset, []fleet.Record{{Key: key, Value: []byte(value)}})
		assert.NilError(t, err)
	}
	put(fleet.TopicConfiguration, "config", "1")
	for i := range 6 {
		put(fleet.TopicTargets, fmt.Sprint("t", i), "llm")
	}
	return store
}

// startGateway starts a gateway whose targets follow the steps. The caller must stop it.
func startGateway(t *testing.T, store *fleetstore.Store, steps ...step) *fixture {
	t.Helper()
	return startWith(t, store, store, nil, steps)
}

// startTwo starts two gateways on the store, which are stopped when the test ends.
func startTwo(t *testing.T, store *fleetstore.Store) (a, b *fixture) {
	t.Helper()
	a, b = startGateway(t, store), startGateway(t, store)
	t.Cleanup(func() {
		a.stop()
		b.stop()
	})
	return a, b
}

// startWithLoads starts a gateway that queries loads. The caller must stop it.
func startWithLoads(t *testing.T, loads gateway.LoadQuerier, steps ...step) *fixture {
	t.Helper()
	store := newStore(t)
	return startWith(t, store, store, loads, steps)
}

// startThrough starts a gateway that makes its calls of the store through path. The caller
// must stop it.
func startThrough(t *testing.T, path fleet.Store, store *fleetstore.Store) *fixture {
	t.Helper()
	return startWith(t, store, path, nil, nil)
}

func startWith(t *testing.T, store *fleetstore.Store, path fleet.Store, loads gateway.LoadQuerier, steps []step) *fixture {
	t.Helper()
	var list []*fleet.Route
	for _, r := range routes {
		list = append(list, r)
	}
	s := &fixture{t: t, store: store, sender: &sender{steps: steps}, ended: &sync.Map{}}
	s.Gateway = gateway.New(gateway.Params{
		Node:        &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults, PeerPort: "7660"},
		Store:       path,
		Sender:      s.sender,
		LoadQuerier: loads,
		HasEnded: func(_ context.Context, address string) bool {
			_, ended := s.ended.Load(address)
			return ended
		},
		Decoder: decoder{fleet.NewConfiguration(1, list, nil, fleet.Limits{})},
	})
	s.Start()
	time.Sleep(time.Second)
	return s
}

// serve sends a request of the route and returns the answer's body.
func (s *fixture) serve(ctx context.Context, route string) (string, error) {
	out := &sink{}
	r := &fleet.Request{ID: "r1", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: 5 * time.Second}
	err := s.Serve(ctx, routes[route], r, out)
	return out.body.String(), err
}

// addTarget registers a target.
func (s *fixture) addTarget(id string) {
	_, err := s.store.Append(s.t.Context(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: id, Value: []byte("llm")}})
	assert.Check(s.t, err)
}

// removeTarget ends the registration of a target.
func (s *fixture) removeTarget(id string) {
	_, err := s.store.Append(s.t.Context(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: id}})
	assert.NilError(s.t, err)
}

// removeTargets ends the registration of every target and waits until the gateway has
// read that.
func (s *fixture) removeTargets() {
	var ends []fleet.Record
	for i := range 6 {
		ends = append(ends, fleet.Record{Key: fmt.Sprint("t", i)})
	}
	_, err := s.store.Append(s.t.Context(), fleet.TopicTargets, fleet.AnyOffset, ends)
	assert.NilError(s.t, err)
	time.Sleep(time.Second)
}

func (s *fixture) stop() { assert.NilError(s.t, s.Stop()) }

func text(list ...string) string { return strings.Join(list, "") }
