package gateway_test

import (
	"context"
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

// slotDecoder is a decoder whose targets have eight slots.
type slotDecoder struct{ decoder }

func (d slotDecoder) Target(r fleet.Record) (*fleet.Target, error) {
	target, err := d.decoder.Target(r)
	if target != nil {
		target.Slots = 8
	}
	return target, err
}

// loadedBatchers is a fake of the batchers beside the six targets, which all report the same
// number of online requests, or do not answer if it is negative.
type loadedBatchers struct {
	mu     sync.Mutex
	online int
}

func (b *loadedBatchers) set(online int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.online = online
}

func (b *loadedBatchers) QueryLoads(_ context.Context, addresses []string, _ time.Duration) []fleet.PeerLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	var loads []fleet.PeerLoad
	for _, address := range addresses {
		if b.online >= 0 {
			loads = append(loads, fleet.PeerLoad{Target: strings.TrimSuffix(address, ":7660"), Online: b.online})
		}
	}
	return loads
}

func (*loadedBatchers) ReportOutcome(string, fleet.PeerOutcome, bool) {}

func (*loadedBatchers) AnnounceRequest(string) {}

// startLoaded starts a gateway whose targets are full. The caller must stop it.
func startLoaded(t *testing.T, store *fleetstore.Store, steps ...step) (*fixture, *loadedBatchers) {
	t.Helper()
	loads := &loadedBatchers{online: 8}
	return startLoadedBy(t, store, loads, &sender{steps: steps}), loads
}

// startLoadedBy starts a gateway whose targets have eight slots and the loads. The caller must stop it.
func startLoadedBy(t *testing.T, store *fleetstore.Store, loads gateway.LoadQuerier, out *sender) *fixture {
	t.Helper()
	var list []*fleet.Route
	for _, r := range routes {
		list = append(list, r)
	}
	s := &fixture{t: t, store: store, sender: out}
	s.Gateway = gateway.New(gateway.Params{
		Node:  &fleet.Node{Name: "gateway-1", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults, PeerPort: "7660"},
		Store: store, Sender: s.sender, LoadQuerier: loads, Decoder: slotDecoder{decoder{fleet.NewConfiguration(1, list, nil, fleet.Limits{})}},
	})
	s.Start()
	time.Sleep(time.Second)
	return s
}

// result is how a request ended.
type result struct {
	err  error
	took time.Duration
}

// serveAsync sends a workspace's stream of the route "quick" that must begin within 300 ms.
func (s *fixture) serveAsync(ctx context.Context, id string, limit time.Duration) <-chan result {
	done := make(chan result, 1)
	go func() {
		begun := time.Now()
		r := &fleet.Request{ID: id, Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: limit, Workspace: &fleet.Workspace{Name: "one"}}
		err := s.Serve(ctx, routes["quick"], r, &sink{})
		done <- result{err, time.Since(begun)}
	}()
	return done
}

// TestWaitsForRoom guards against a stream going into the queue of a full target: it must wait
// at the gateway, and go to a target soon after that has room, or as soon as no batcher
// answers any more.
func TestWaitsForRoom(t *testing.T) {
	for _, online := range []int{7, -1} {
		synctest.Test(t, func(t *testing.T) {
			s, loads := startLoaded(t, newStore(t), step{events: events(1, 3)}, step{events: events(1, 3)}, step{events: events(1, 3)})
			defer s.stop()
			var done []<-chan result
			for _, id := range []string{"r1", "r2", "r3"} {
				done = append(done, s.serveAsync(t.Context(), id, 5*time.Second))
			}
			time.Sleep(70 * time.Millisecond)
			assert.Equal(t, len(s.sender.sent), 0)
			loads.set(online)
			for _, d := range done {
				ended := <-d
				assert.NilError(t, ended.err)
				assert.Assert(t, ended.took <= 110*time.Millisecond, "%v", ended.took)
			}
		})
	}
}

// TestCallerLeavesWhileWaiting guards against a request whose caller has left reaching a
// target, or holding its place for others.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, loads := startLoaded(t, newStore(t), step{events: events(1, 3)})
		defer s.stop()
		ctx, leave := context.WithCancel(t.Context())
		first := s.serveAsync(ctx, "r1", 5*time.Second)
		second := s.serveAsync(t.Context(), "r2", 5*time.Second)
		time.Sleep(50 * time.Millisecond)
		leave()
		ended := <-first
		assert.Assert(t, ended.err != nil)
		assert.Assert(t, ended.took <= 100*time.Millisecond, "%v", ended.took)
		loads.set(0)
		assert.NilError(t, (<-second).err)
		assert.Equal(t, len(s.sender.sent), 1)
		assert.Equal(t, s.sender.sent[0].Request.ID, "r2")
	})
}

// TestDrainWithWaiting guards against SIGTERM leaving requests that wait without an answer, or
// beginning one that the gateway would cut: what may not end before the gateway does is
// refused at once, the rest is served.
func TestDrainWithWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, loads := startLoaded(t, newStore(t), step{events: events(1, 3)})
		defer s.stop()
		s.Reload(&fleet.Node{Name: "gateway-1", GracePeriod: 3 * time.Second})
		long := s.serveAsync(t.Context(), "long", 5*time.Second)
		short := s.serveAsync(t.Context(), "short", 2*time.Second)
		time.Sleep(50 * time.Millisecond)
		drained := make(chan struct{})
		go func() {
			s.Drain()
			close(drained)
		}()
		ended := <-long
		assert.Assert(t, errorx.IsOfType(ended.err, fleet.ErrRefused), "%v", ended.err)
		assert.Assert(t, fleet.RetryAfterOf(ended.err) > 0)
		assert.Assert(t, ended.took <= 100*time.Millisecond, "%v", ended.took)
		loads.set(0)
		assert.NilError(t, (<-short).err)
		<-drained
		assert.Equal(t, len(s.sender.sent), 1)
	})
}

// TestNoRoomUntilDeadline guards against a request waiting until its deadline while it is not
// known whether targets would take it: after most of its time it goes to one as if nothing
// were known of their room.
func TestNoRoomUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startLoaded(t, newStore(t), step{events: events(1, 3)})
		defer s.stop()
		ended := <-s.serveAsync(t.Context(), "r1", time.Second)
		assert.NilError(t, ended.err)
		assert.Assert(t, ended.took < time.Second)
	})
}

// TestOthersDoNotWait guards against a request whose target is not chosen by queried loads
// waiting behind streams that do: whether there is room for it is not known.
func TestOthersDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, loads := startLoaded(t, newStore(t), step{status: http.StatusOK}, step{events: events(1, 3)})
		defer s.stop()
		waits := s.serveAsync(t.Context(), "r1", 5*time.Second)
		time.Sleep(10 * time.Millisecond)
		begun := time.Now()
		_, err := s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begun), time.Duration(0))
		loads.set(0)
		assert.NilError(t, (<-waits).err)
	})
}

// TestNobodyWaitsWithoutWorkspaces guards against an order where none is asked for: without
// workspaces a stream goes to its target at once, as it does without the waiting room.
func TestNobodyWaitsWithoutWorkspaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := startLoaded(t, newStore(t), step{events: events(1, 3)})
		defer s.stop()
		begun := time.Now()
		r := &fleet.Request{ID: "r1", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: 5 * time.Second}
		assert.NilError(t, s.Serve(t.Context(), routes["quick"], r, &sink{}))
		assert.Assert(t, time.Since(begun) < 50*time.Millisecond, "%v", time.Since(begun))
	})
}
