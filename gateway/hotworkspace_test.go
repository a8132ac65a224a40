package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// engines is a fake of six targets with eight slots each, which serve in order of arrival, and
// of the batchers beside them.
type engines struct {
	loadedBatchers
	mu     sync.Mutex
	slots  map[string]chan struct{}
	counts map[string]int
}

const (
	engineSlots   = 8
	engineHold    = 200 * time.Millisecond
	enginePrefill = 20 * time.Millisecond
)

func newEngines() *engines {
	e := &engines{slots: map[string]chan struct{}{}, counts: map[string]int{}}
	for i := range 6 {
		e.slots[fmt.Sprint("t", i)] = make(chan struct{}, engineSlots)
	}
	return e
}

func (e *engines) add(target string, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[target] += n
}

// QueryLoads implements gateway.LoadQuerier.
func (e *engines) QueryLoads(_ context.Context, addresses []string, _ time.Duration) []fleet.PeerLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var loads []fleet.PeerLoad
	for _, address := range addresses {
		target := strings.TrimSuffix(address, ":7660")
		loads = append(loads, fleet.PeerLoad{Target: target, Online: e.counts[target]})
	}
	return loads
}

// Send implements fleet.Sender.
func (e *engines) Send(ctx context.Context, a fleet.Attempt) (*fleet.Answer, error) {
	target := a.Target.ID
	e.add(target, 1)
	end := sync.OnceFunc(func() {
		<-e.slots[target]
		e.add(target, -1)
	})
	select {
	case e.slots[target] <- struct{}{}:
	case <-ctx.Done():
		e.add(target, -1)
		return nil, fleet.ErrAnswerBroken.New("left")
	}
	time.Sleep(enginePrefill)
	body := &script{ctx: ctx, step: step{events: events(1, 1), endless: "id: " + nextNumber + "\ndata: x\n\n", pause: engineHold - enginePrefill}}
	return &fleet.Answer{Status: http.StatusOK, Header: http.Header{}, Signed: true, Length: -1, Body: &oneMore{script: body}, Close: end, Discard: end}, nil
}

// oneMore ends a script after its second event.
type oneMore struct {
	*script
	reads int
}

// Read implements io.Reader.
func (b *oneMore) Read(p []byte) (int, error) {
	b.reads++
	if b.reads > 2 {
		b.step.endless = ""
	}
	return b.script.Read(p)
}

// firstEvent is a sink that records when the first event came.
type firstEvent struct {
	sink
	at time.Time
}

func (s *firstEvent) Write(p []byte) error {
	if s.at.IsZero() {
		s.at = time.Now()
	}
	return s.sink.Write(p)
}

// served returns the share of the requests of the workspaces other than the first that begin
// within their objective, while ten workspaces send together four fifths of what the engines
// take and the first one sends hot times its share. Callers come once more when refused.
func served(t *testing.T, hot float64) float64 {
	const workspaces, objective = 10, 300 * time.Millisecond
	e := newEngines()
	store := newStore(t)
	var list []*fleet.Route
	for _, r := range routes {
		list = append(list, r)
	}
	g := gateway.New(gateway.Params{
		Node:  &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults, PeerPort: "7660"},
		Store: store, Sender: e, LoadQuerier: e, Decoder: slotDecoder{decoder{fleet.NewConfiguration(1, list, nil, fleet.Limits{})}},
	})
	g.Start()
	defer func() { assert.NilError(t, g.Stop()) }()
	time.Sleep(time.Second)
	var mu sync.Mutex
	var callers sync.WaitGroup
	asked, inTime := 0, 0
	call := func(workspace *fleet.Workspace, counts bool) {
		begun, out := time.Now(), &firstEvent{}
		err := error(nil)
		for range 2 {
			r := &fleet.Request{
				ID: fmt.Sprint(rand.Uint64()), Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{},
				MaxWait: time.Until(begun.Add(5 * time.Second)), Workspace: workspace,
			}
			if err = g.Serve(context.Background(), routes["quick"], r, out); fleet.RetryAfterOf(err) == 0 {
				break
			}
			time.Sleep(fleet.RetryAfterOf(err))
		}
		mu.Lock()
		defer mu.Unlock()
		if counts {
			asked++
		}
		if counts && !out.at.IsZero() && out.at.Sub(begun) <= objective {
			inTime++
		}
	}
	mean := 0.8 * 6 * engineSlots / engineHold.Seconds() / workspaces // a second
	random := rand.New(rand.NewPCG(1, 2))
	names := make([]*fleet.Workspace, workspaces)
	for i := range names {
		names[i] = &fleet.Workspace{Name: fmt.Sprint("workspace-", i)}
	}
	for range 8000 {
		time.Sleep(time.Millisecond)
		for i, workspace := range names {
			rate := mean
			if i == 0 {
				rate *= hot
			}
			if random.Float64() < rate/1000 {
				callers.Go(func() { call(workspace, i > 0) })
			}
		}
	}
	callers.Wait()
	return float64(inTime) / float64(asked)
}

// TestHotWorkspaceBesideOthers guards against a workspace that sends six times its usual
// taking the others' places at full targets, which serve in order of arrival. The others keep
// 95% of what they get without it.
func TestHotWorkspaceBesideOthers(t *testing.T) {
	var calm, beside float64
	synctest.Test(t, func(t *testing.T) { calm = served(t, 1) })
	synctest.Test(t, func(t *testing.T) { beside = served(t, 6) })
	t.Logf("in time without the hot workspace %.3f, beside it %.3f", calm, beside)
	assert.Assert(t, beside >= 0.95*calm)
}
