package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

const (
	// abandonedAfter is the time after which callers leave a gateway that has not read their
	// request.
	abandonedAfter = time.Second
	// callersDeadline is the time that callers give a request.
	callersDeadline = 5 * time.Second
)

// startWithSlowStore starts a gateway whose calls of the store take the delay, and does not
// wait for its first reads. The gateway is stopped when the test ends.
func startWithSlowStore(t *testing.T, delay time.Duration) *gateway.Gateway {
	t.Helper()
	return startWithFaults(t, fleetstore.Faults{Delay: delay})
}

// startWithFaults is startWithSlowStore with any faults of the store.
func startWithFaults(t *testing.T, faults fleetstore.Faults) *gateway.Gateway {
	t.Helper()
	store := newStore(t)
	store.SetFaults(faults)
	var list []*fleet.Route
	for _, r := range routes {
		list = append(list, r)
	}
	g := gateway.New(gateway.Params{
		Node:    &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults},
		Store:   store,
		Sender:  &sender{},
		Decoder: decoder{fleet.NewConfiguration(1, list, nil, fleet.Limits{})},
	})
	g.Start()
	t.Cleanup(func() { assert.Check(t, g.Stop()) })
	return g
}

// matchMany matches requests that arrive at the same moment and returns how many were
// matched, and the refusals of the others.
func matchMany(ctx context.Context, g *gateway.Gateway, count int) (matched int, refusals []error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	for range count {
		all.Go(func() {
			_, _, err := g.Match(ctx, "h", "/s/1", "")
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				matched++
			} else {
				refusals = append(refusals, err)
			}
		})
	}
	all.Wait()
	return matched, refusals
}

// TestRequestsWaitForFirstReads sends requests to a gateway in the moment of its start. Power
// has returned to all instances: a request that is refused finds no better gateway, and its
// caller may have no further try. All must be served once the store has answered.
func TestRequestsWaitForFirstReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithSlowStore(t, 250*time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), callersDeadline)
		defer cancel()
		begun := time.Now()
		matched, _ := matchMany(ctx, g, 50)
		assert.Equal(t, matched, 50)
		assert.Equal(t, time.Since(begun), 250*time.Millisecond, "they were served as soon as the store answered")
	})
}

// TestWaitAtStartEndsInTime sends requests to a gateway that starts while the store answers
// nothing. They must be refused while their callers still have time for another try, and be
// told when to come back.
func TestWaitAtStartEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithSlowStore(t, 3*time.Second)
		for _, deadline := range []time.Duration{callersDeadline, 300 * time.Millisecond} {
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			begun := time.Now()
			_, refusals := matchMany(ctx, g, 5)
			assert.Equal(t, len(refusals), 5)
			for _, err := range refusals {
				assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
				assert.Assert(t, fleet.RetryAfterOf(err) > 0)
			}
			assert.Assert(t, time.Since(begun) < min(abandonedAfter, deadline/3), "%v", time.Since(begun))
			cancel()
		}
	})
}

// TestWaitingIsBounded sends more requests than a gateway may keep before it has read its
// configuration. It must refuse the surplus at once, and serve the rest.
func TestWaitingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithSlowStore(t, 100*time.Millisecond)
		matched, refusals := matchMany(t.Context(), g, 5000)
		assert.Assert(t, matched > 0 && matched < 1000, "%d", matched)
		assert.Equal(t, matched+len(refusals), 5000)
	})
}

// TestCallersLeaveWhileTheyWait lets callers leave a gateway that has not read its
// configuration. Their places must be free at once for others.
func TestCallersLeaveWhileTheyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithSlowStore(t, 250*time.Millisecond)
		ctx, leave := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, leave)
		begun := time.Now()
		matched, _ := matchMany(ctx, g, 200)
		assert.Equal(t, matched, 0)
		assert.Equal(t, time.Since(begun), 50*time.Millisecond)
		matched, _ = matchMany(t.Context(), g, 200)
		assert.Equal(t, matched, 200)
	})
}

// TestFailingStoreKeepsNoRequest starts a gateway while the store is down. Requests must be
// refused at once: another gateway knows the configuration, this one will not soon.
func TestFailingStoreKeepsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithFaults(t, fleetstore.Faults{Down: true})
		synctest.Wait()
		begun := time.Now()
		_, _, err := g.Match(t.Context(), "h", "/s/1", "")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
		assert.Equal(t, time.Since(begun), time.Duration(0))
	})
}

// TestStopEndsWaits stops a gateway that has not read its configuration. Requests that wait
// must not delay that.
func TestStopEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := startWithSlowStore(t, 3*time.Second)
		var refused error
		go func() { _, _, refused = g.Match(t.Context(), "h", "/s/1", "") }()
		synctest.Wait()
		begun := time.Now()
		assert.NilError(t, g.Stop())
		synctest.Wait()
		assert.Assert(t, errorx.IsOfType(refused, fleet.ErrRefused), "%v", refused)
		assert.Equal(t, time.Since(begun), time.Duration(0))
	})
}

// restarted is a fake fleet.Sender of targets that have all been started anew: at the address
// of the target tN runs nN.
type restarted struct {
	mu    sync.Mutex
	wrong int
}

func (r *restarted) Send(ctx context.Context, a fleet.Attempt) (*fleet.Answer, error) {
	next := step{events: events(1, 3)}
	if strings.HasPrefix(a.Target.ID, "t") {
		next = step{verdict: fleet.VerdictWrongTarget, status: http.StatusMisdirectedRequest}
		r.mu.Lock()
		r.wrong++
		r.mu.Unlock()
	}
	return &fleet.Answer{
		Verdict: next.verdict, Status: max(next.status, http.StatusOK), Header: http.Header{}, Signed: true, Length: -1,
		Body: &script{ctx: ctx, step: next}, Close: func() {}, Discard: func() {},
	}, nil
}

// restartedBatchers is a fake of the batchers beside these targets.
type restartedBatchers struct{}

func (restartedBatchers) QueryLoads(_ context.Context, addresses []string, _ time.Duration) []fleet.PeerLoad {
	var loads []fleet.PeerLoad
	for _, address := range addresses {
		id := strings.TrimSuffix(strings.TrimPrefix(address, "t"), ":7660")
		loads = append(loads, fleet.PeerLoad{Target: "n" + id, Service: "llm", Address: address})
	}
	return loads
}

func (restartedBatchers) AnnounceRequest(string) {}

func (restartedBatchers) ReportOutcome(string, fleet.PeerOutcome, bool) {}

// TestAllStartedAtOnce starts a gateway after a loss of power: the registry names only targets
// that have ended, and the callers of a wave wait already. Each request must be served, and the
// ended targets must not cost each of them an attempt.
func TestAllStartedAtOnce(t *testing.T) {
	for name, kind := range map[string]string{"a stream": "stream", "a call without a question to batchers": "unsafe"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore(t)
				store.SetFaults(fleetstore.Faults{Delay: 200 * time.Millisecond})
				var list []*fleet.Route
				for _, r := range routes {
					list = append(list, r)
				}
				targets := &restarted{}
				g := gateway.New(gateway.Params{
					Node:  &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults, PeerPort: "7660"},
					Store: store, Sender: targets, LoadQuerier: restartedBatchers{},
					Decoder: decoder{fleet.NewConfiguration(1, list, nil, fleet.Limits{})},
				})
				g.Start()
				defer func() { assert.NilError(t, g.Stop()) }()
				for i := range 50 {
					_, _, err := g.Match(t.Context(), "h", "/s/1", "")
					assert.NilError(t, err)
					r := &fleet.Request{ID: fmt.Sprint(i), Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: callersDeadline}
					out := &sink{}
					assert.NilError(t, g.Serve(t.Context(), routes[kind], r, out))
					assert.Equal(t, out.body.String(), fullStream)
					synctest.Wait()
				}
				assert.Assert(t, targets.wrong <= 6, "%d attempts at ended targets", targets.wrong)
			})
		})
	}
}
