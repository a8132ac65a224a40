package batcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/coordination/claims"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

const (
	slots     = 4
	tokens    = 40
	tokenTime = 50 * time.Millisecond
)

// target is a fake model target. It answers each item with numbered events at a steady
// pace, starting after the event that the attempt names.
type target struct {
	mu       sync.Mutex
	id       string
	online   int
	waiting  int
	draining bool
	down     bool
	running  int
	maxLoad  int
	sends    map[string]int
	// statuses holds, for each item, the statuses answered to its first attempts before
	// one runs.
	statuses map[string][]int
	// endless holds, for each item, what its first attempt is answered again and again
	// after one event, until the attempt is cancelled. It is deleted with that attempt.
	endless map[string]string
	// resumed holds the event after which each item was last resumed.
	resumed map[string]int
	// pages holds, for each item, the success that its next attempt is answered with in
	// place of a stream. It is deleted with that attempt.
	pages map[string]fleet.Answer
	// repeats holds, for each item, the event after which its next attempts send others in place
	// of the one that follows, and then break off. The first is used up by the first attempt.
	repeats map[string][]oddEvents
	// refused holds the items that the target refuses without running them.
	refused map[string]bool
	// unsendable holds the items that can't be sent, after the event that is named.
	unsendable map[string]string
	// workspaces holds the workspace that each item was last sent for.
	workspaces map[string]*fleet.Workspace
	// healthPath, if set, is the only path at which the target tells its ID.
	healthPath string
	// slowdown is the factor by which events take longer, 0 for none.
	slowdown int
}

func newTarget() *target {
	return &target{id: "t1", sends: map[string]int{}, statuses: map[string][]int{}, endless: map[string]string{}, resumed: map[string]int{}, pages: map[string]fleet.Answer{}, unsendable: map[string]string{}, workspaces: map[string]*fleet.Workspace{}}
}

func (e *target) set(change func(*target)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// busy returns the number of items that run.
func (e *target) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// resumedAfter returns the event after which the item was last resumed.
func (e *target) resumedAfter(item string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resumed[item]
}

// sent returns how often the item was sent, or all items together if the name is empty.
func (e *target) sent(item string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if item != "" {
		return e.sends[item]
	}
	sum := 0
	for _, n := range e.sends {
		sum += n
	}
	return sum
}

// Report implements batcher.Reporter.
func (e *target) Report(context.Context, string) (fleet.TargetState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return fleet.TargetState{}, fleet.ErrNotDelivered.New("down")
	}
	id := e.id
	if e.healthPath != "" {
		id = ""
	}
	return fleet.TargetState{ID: id, Running: e.running + e.online, Waiting: e.waiting, Draining: e.draining}, nil
}

// Identify implements batcher.Reporter.
func (e *target) Identify(_ context.Context, _, path string) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.healthPath != "" && path != e.healthPath {
		return "", fleet.ErrAnswerBroken.New("no ID at %s", path)
	}
	return e.id, nil
}

// oddEvents are numbers of events that are sent after the one with the number after.
type oddEvents struct {
	after int
	sent  []int
}

// Send implements fleet.Sender.
func (e *target) Send(ctx context.Context, a fleet.Attempt) (*fleet.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, fleet.ErrNotDelivered.New("down")
	}
	id := a.Request.ID
	e.sends[id]++
	if after, found := e.unsendable[id]; found && after == a.LastEventID {
		return nil, fleet.ErrMalformed.New("not one request")
	}
	e.workspaces[id] = a.Request.Workspace
	answer := &fleet.Answer{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: strings.NewReader(""), Close: func() {}, Discard: func() {}}
	if a.Target.ID != e.id {
		answer.Verdict = fleet.VerdictWrongTarget
		return answer, nil
	}
	if e.refused[id] {
		answer.Verdict, answer.Status = fleet.VerdictNotRun, http.StatusServiceUnavailable
		return answer, nil
	}
	if left := e.statuses[id]; len(left) > 0 {
		answer.Status, e.statuses[id] = left[0], left[1:]
		return answer, nil
	}
	if page, found := e.pages[id]; found {
		delete(e.pages, id)
		page.Status, page.Length, page.Close, page.Discard = http.StatusOK, -1, func() {}, func() {}
		return &page, nil
	}
	e.running++
	e.maxLoad = max(e.maxLoad, e.running+e.online)
	after := 0
	_, _ = fmt.Sscan(a.LastEventID, &after)
	e.resumed[id] = after
	body := &stream{e: e, ctx: ctx, item: id, next: after + 1, endless: e.endless[id]}
	if list := e.repeats[id]; len(list) > 0 {
		body.odd, e.repeats[id] = &list[0], list[1:]
	}
	answer.Body = body
	delete(e.endless, id)
	answer.Close = func() { e.set(func(e *target) { e.running-- }) }
	return answer, nil
}

type stream struct {
	e    *target
	ctx  context.Context
	item string
	next int
	// endless is sent again and again after the first event.
	endless string
	// odd is sent after its event, and ends the stream.
	odd *oddEvents
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	if s.endless != "" && s.next > 1 {
		select {
		case <-time.After(time.Millisecond):
			return copy(p, s.endless), nil
		case <-s.ctx.Done():
			return 0, errors.New("closed")
		}
	}
	if s.odd != nil && s.next == s.odd.after+1 {
		if len(s.odd.sent) == 0 {
			return 0, errors.New("reset")
		}
		n := copy(p, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", s.odd.sent[0], s.item, s.odd.sent[0]))
		s.odd.sent = s.odd.sent[1:]
		return n, nil
	}
	if s.next > tokens {
		return 0, io.EOF
	}
	pace := tokenTime
	s.e.set(func(e *target) { pace *= time.Duration(max(1, e.slowdown)) })
	select {
	case <-time.After(pace):
	case <-s.ctx.Done():
		return 0, errors.New("closed")
	}
	down := false
	s.e.set(func(e *target) { down = e.down })
	if down {
		return 0, errors.New("reset")
	}
	n := copy(p, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", s.next, s.item, s.next))
	s.next++
	return n, nil
}

func fullText(item string) string {
	var lines []string
	for i := 1; i <= tokens; i++ {
		lines = append(lines, fmt.Sprintf("%s-%d", item, i))
	}
	return strings.Join(lines, "\n")
}

// decoder decodes every configuration record as the test's configuration.
type decoder struct{ config *fleet.Configuration }

func (d decoder) Configuration(fleet.Record) (*fleet.Configuration, error) { return d.config, nil }
func (decoder) Target(r fleet.Record) (*fleet.Target, error)               { return decodeTarget(r) }

// decodeTarget decodes the value of a target's record as the name of its service.
func decodeTarget(r fleet.Record) (*fleet.Target, error) {
	if len(r.Value) == 0 {
		return nil, nil
	}
	return &fleet.Target{ID: r.Key, Service: string(r.Value), Address: "t1"}, nil
}

// fixture is a store with a work log, a writer for it and a configuration.
type fixture struct {
	t      *testing.T
	store  *fleetstore.Store
	writer *worklog.Writer
	config *fleet.Configuration
}

func newFixture(t *testing.T) *fixture {
	route := &fleet.Route{Name: "jobs", Host: "h", Prefix: "/j/", Kind: fleet.KindBatch, MaxAttempts: 3, Services: []fleet.ServiceWeight{{Service: "llm", Weight: 1}}}
	s := &fixture{t: t, store: fleetstore.New(), writer: worklog.NewWriter("gateway")}
	s.config = fleet.NewConfiguration(1, []*fleet.Route{route}, []*fleet.Service{{Name: "llm", Slots: slots}}, fleet.Limits{})
	_, err := s.store.Append(t.Context(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: []byte("1")}})
	assert.NilError(t, err)
	s.register("t1", "llm")
	return s
}

// register registers a target under a service.
func (s *fixture) register(id, service string) {
	s.t.Helper()
	_, err := s.store.Append(s.t.Context(), fleet.TopicTargets, fleet.AnyOffset, []fleet.Record{{Key: id, Value: []byte(service)}})
	assert.NilError(s.t, err)
}

func (s *fixture) appendEntry(e worklog.Entry) {
	s.t.Helper()
	record, err := s.writer.Record(e)
	assert.NilError(s.t, err)
	_, err = s.store.Append(s.t.Context(), fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
	assert.NilError(s.t, err)
}

func (s *fixture) accept(id string, items int) {
	job := fleet.Job{ID: id, Host: "h"}
	for i := range items {
		job.Items = append(job.Items, fleet.Item{ID: fmt.Sprint(id, i), Path: "/j/x", Header: http.Header{}})
	}
	s.acceptJob(job, "jobs", "/j/1")
}

func (s *fixture) acceptJob(job fleet.Job, route, path string) {
	s.t.Helper()
	s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: job, Route: route, Path: path}})
}

func (s *fixture) start(name string, e *target) *batcher.Batcher {
	b := batcher.New(batcher.Params{
		Node:  &fleet.Node{Name: name, TargetAddress: "t1", Service: "llm", MaxCallBytes: 1 << 20},
		Store: s.store, Sender: e, Reporter: e, Decoder: decoder{s.config},
		Shuffle: rand.New(rand.NewPCG(1, uint64(len(name)))).Shuffle,
	})
	b.Start()
	return b
}

func (s *fixture) job(id string) *worklog.Job {
	s.t.Helper()
	records, _, err := s.store.Newest(s.t.Context(), fleet.TopicWork)
	assert.NilError(s.t, err)
	fold := worklog.NewFold()
	fold.Apply(time.Now(), records)
	return fold.Job(id)
}

// checkCompleted checks that every item of the job is completed with its whole output.
func (s *fixture) checkCompleted(id string) {
	s.t.Helper()
	job := s.job(id)
	assert.Equal(s.t, len(job.Results), len(job.Items))
	for _, r := range job.Results {
		assert.Equal(s.t, r.State, fleet.ResultCompleted)
		record, err := s.store.ReadOne(s.t.Context(), fleet.TopicTexts, r.Text.Offset, r.Text.Bytes)
		assert.NilError(s.t, err)
		assert.Equal(s.t, record.Key, r.Text.Key)
		assert.Assert(s.t, len(record.Key)+len(record.Value) <= r.Text.Bytes)
		text, ok := worklog.DecodeText(record.Value)
		assert.Assert(s.t, ok)
		assert.Equal(s.t, text, fullText(r.Item))
	}
}

// TestItemsFillSpareSlots runs a job while a step of online requests arrives. The items
// must use all spare slots, be preempted within two polls, and resume after their last
// event.
func TestItemsFillSpareSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.accept("j", 6)
		b := s.start("b", e)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, e.busy(), slots)
		e.set(func(e *target) { e.online = slots })
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, e.busy(), 0, "items must be preempted within two polls")
		e.set(func(e *target) { e.online = 0 })
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, b.Stop())
		assert.Assert(t, e.maxLoad <= 2*slots)
	})
}

// TestFailures checks which statuses of the target end an item as a dead letter: 422 at
// once, 500 after as many failures as the route has attempts, 503 never.
func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		e.statuses["j0"] = []int{422}
		e.statuses["j1"] = []int{500, 500, 500, 500, 500}
		e.statuses["j2"] = []int{500, 503, 500}
		s.accept("j", 3)
		b := s.start("b", e)
		time.Sleep(10 * time.Second)
		states := map[string]fleet.ResultState{}
		for _, r := range s.job("j").Results {
			states[r.Item] = r.State
		}
		assert.DeepEqual(t, states, map[string]fleet.ResultState{"j0": fleet.ResultDeadLetter, "j1": fleet.ResultDeadLetter, "j2": fleet.ResultCompleted})
		assert.Equal(t, e.sent("j0"), 1)
		assert.Equal(t, e.sent("j1"), 3, "as many runs as the route has attempts")
		assert.NilError(t, b.Stop())
	})
}

// TestEndedJobStops checks that the items of a job that its caller ends are stopped and
// not run again.
func TestEndedJobStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.accept("j", 8)
		b := s.start("b", e)
		time.Sleep(1200 * time.Millisecond)
		assert.Assert(t, e.busy() > 0)
		s.appendEntry(worklog.Entry{End: &worklog.End{Job: "j"}})
		time.Sleep(time.Second)
		assert.Equal(t, e.busy(), 0)
		sends := e.sent("")
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.sent(""), sends)
		assert.NilError(t, b.Stop())
	})
}

// TestBatcherIsReplaced stops one of two batchers, or drains or kills its target, in the
// middle of a job. The other must finish the job, resuming released items.
func TestBatcherIsReplaced(t *testing.T) {
	for name, leave := range map[string]func(*batcher.Batcher, *target){
		"stopped":     func(b *batcher.Batcher, _ *target) { _ = b.Stop() },
		"drained":     func(_ *batcher.Batcher, e *target) { e.set(func(e *target) { e.draining = true }) },
		"target down": func(_ *batcher.Batcher, e *target) { e.set(func(e *target) { e.down = true }) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e, other := newFixture(t), newTarget(), newTarget()
				s.accept("j", 12)
				first, second := s.start("first", e), s.start("second", other)
				time.Sleep(1600 * time.Millisecond)
				assert.Assert(t, e.busy() > 0 && other.busy() > 0)
				leave(first, e)
				time.Sleep(30 * time.Second)
				s.checkCompleted("j")
				assert.Equal(t, e.busy(), 0)
				assert.NilError(t, second.Stop())
				_ = first.Stop()
			})
		})
	}
}

// TestPowerLossKeepsProgress ends a batcher, without any release being stored, after its
// items have run for a while. The batcher that claims them next must resume them after
// their saved progress, and the whole outputs must be stored, each once.
func TestPowerLossKeepsProgress(t *testing.T) {
	for name, next := range map[string]string{"same instance": "b", "another instance": "c"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				first := s.start("b", e)
				s.accept("j", slots)
				time.Sleep(1500 * time.Millisecond)
				assert.Equal(t, e.busy(), slots)
				s.store.SetFaults(fleetstore.Faults{Down: true})
				assert.NilError(t, first.Stop())
				s.store.SetFaults(fleetstore.Faults{})
				second := s.start(next, e)
				defer func() { assert.NilError(t, second.Stop()) }()
				time.Sleep(20 * time.Second)
				s.checkCompleted("j")
				for i := range slots {
					id := fmt.Sprint("j", i)
					assert.Assert(t, e.resumedAfter(id) >= 8, "%s resumed after event %d", id, e.resumedAfter(id))
				}
			})
		})
	}
}

// TestRestartKeepsClaims starts a batcher whose previous process held every item. It must
// run them without waiting for the claims to expire.
func TestRestartKeepsClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.accept("j", slots)
		s.writer = worklog.NewProcessWriter("b")
		claim := &worklog.Claim{}
		for i := range slots {
			ref := worklog.ItemRef{Job: "j", Item: fmt.Sprint("j", i)}
			claim.Items = append(claim.Items, worklog.ClaimedItem{ItemRef: ref, Replaces: worklog.NoClaim})
		}
		s.appendEntry(worklog.Entry{Claim: claim})
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		time.Sleep(claims.HolderTimeout / 2)
		assert.Equal(t, e.busy(), slots)
	})
}

// TestStoreOutage checks that held items finish during an outage of the store, and that
// their results are stored once after it.
func TestStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		s.accept("j", 3)
		b := s.start("b", e)
		time.Sleep(1200 * time.Millisecond)
		s.store.SetFaults(fleetstore.Faults{Down: true})
		time.Sleep(5 * time.Second)
		s.store.SetFaults(fleetstore.Faults{LoseAnswers: 2})
		time.Sleep(3 * time.Second)
		s.checkCompleted("j")
		for i := range 3 {
			assert.Equal(t, e.sent(fmt.Sprint("j", i)), 1)
		}
		assert.NilError(t, b.Stop())
	})
}

// TestTargetRestart restarts the target under another ID before a job is accepted. No item
// may run at an incarnation other than the one addressed, and the job must complete.
func TestTargetRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		b := s.start("b", e)
		time.Sleep(1200 * time.Millisecond)
		e.set(func(e *target) { e.id = "t2" })
		s.register("t2", "llm")
		s.accept("j", 2)
		time.Sleep(5 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, b.Stop())
	})
}

// TestItemOutlivesManyCrashes crashes both targets in turn again and again under the items of
// a job, in the middle of their output. An item is owed however many targets it lost: when
// all is calm, every item must be completed.
func TestItemOutlivesManyCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFixture(t)
		targets := []*target{newTarget(), newTarget()}
		var batchers []*batcher.Batcher
		for i, e := range targets {
			batchers = append(batchers, s.start(fmt.Sprint("b", i), e))
		}
		time.Sleep(time.Second)
		s.accept("j", 4)
		crashes := 0
		for crashes < 12 {
			for i, e := range targets {
				if e.busy() > 0 {
					crashes++
				}
				e.set(func(e *target) { e.down = true })
				time.Sleep(2 * tokenTime)
				s.register(fmt.Sprint("life", i, crashes), "llm")
				e.set(func(e *target) { e.down, e.id = false, fmt.Sprint("life", i, crashes) })
			}
			time.Sleep(tokenTime)
		}
		for _, item := range s.job("j").Items {
			lost := targets[0].sent(item.ID) + targets[1].sent(item.ID) - 1
			assert.Assert(t, lost >= 5, "%s lost only %d targets", item.ID, lost)
		}
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
		for _, b := range batchers {
			assert.NilError(t, b.Stop())
		}
	})
}

// TestHeartbeatsOnlyWhenSilent checks that a batcher whose claims and results are stored
// adds no heartbeats to them, and that one that runs a long item does: with hundreds of
// batchers a heartbeat each per second is a third of what the log can take.
func TestHeartbeatsOnlyWhenSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		b := s.start("b", e)
		defer func() { assert.NilError(t, b.Stop()) }()
		for i := range 20 {
			s.accept(fmt.Sprint("j", i), 1)
			time.Sleep(500 * time.Millisecond)
		}
		assert.Equal(t, s.heartbeats(), 0)
		time.Sleep(5 * time.Second)
		e.set(func(e *target) { e.online = slots })
		s.accept("long", 1)
		e.set(func(e *target) { e.online = slots - 1 })
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, s.heartbeats(), 1)
	})
}

// heartbeats returns the number of heartbeats in the work log.
func (s *fixture) heartbeats() int {
	s.t.Helper()
	page, err := s.store.Read(s.t.Context(), fleet.TopicWork, 0)
	assert.NilError(s.t, err)
	count := 0
	for _, r := range page.Records {
		if strings.HasPrefix(r.Key, "alive/") {
			count++
		}
	}
	return count
}
