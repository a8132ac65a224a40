package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/gateway"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// cutStore is a store that turns one gateway away while it is cut. Its calls fail at once, or, if it is
// silent, only when they are given up.
type cutStore struct {
	fleet.Store
	cut, silent atomic.Bool
}

// Append implements fleet.Store.
func (s *cutStore) Append(ctx context.Context, t fleet.Topic, at int64, records []fleet.Record) (int64, error) {
	if s.cut.Load() {
		if s.silent.Load() {
			<-ctx.Done()
		}
		return 0, fleet.ErrStoreUnavailable.New("turned away")
	}
	return s.Store.Append(ctx, t, at, records)
}

// crashBatchers records crashes in the work log as batchers do, unless they are lost.
type crashBatchers struct {
	t      *testing.T
	store  fleet.Store
	writer *worklog.Writer
	asked  atomic.Int64
	lost   atomic.Int64
}

// RecordCrash implements gateway.CrashRecorder.
func (b *crashBatchers) RecordCrash(_ string, c fleet.PeerCrash) {
	if b.asked.Add(1) <= b.lost.Load() {
		return
	}
	record, err := b.writer.Record(worklog.Entry{Crash: &worklog.Crash{Fingerprint: c.Fingerprint, Target: c.Target, Produced: c.Produced}})
	assert.Check(b.t, err)
	_, err = b.store.Append(b.t.Context(), fleet.TopicWork, fleet.AnyOffset, []fleet.Record{record})
	assert.Check(b.t, err)
}

// startTurnedAway starts a gateway that the store turns away, with batchers that it reaches. The caller
// must stop it.
func startTurnedAway(t *testing.T, store *fleetstore.Store) (*fixture, *cutStore, *crashBatchers) {
	t.Helper()
	path := &cutStore{Store: store}
	recorder := &crashBatchers{t: t, store: store, writer: worklog.NewWriter("batcher")}
	s := &fixture{t: t, store: store, sender: &sender{}}
	s.Gateway = gateway.New(gateway.Params{
		Node:  &fleet.Node{Name: "gateway-2", GracePeriod: 8 * time.Second, MaxRecordBytes: 1 << 18, KeepResults: keepResults, PeerPort: "7660"},
		Store: path, Sender: s.sender, CrashRecorder: recorder,
		Decoder: decoder{fleet.NewConfiguration(1, []*fleet.Route{routes["stream"]}, nil, fleet.Limits{})},
	})
	s.Start()
	time.Sleep(time.Second)
	path.cut.Store(true)
	return s, path, recorder
}

// TestCrashesCountElsewhereThoughTheStoreTurnsTheirGatewayAway guards against a request that crashes targets anew at each
// gateway, since the one that saw the first crashes can't tell the others (review/14): the store turns it
// away, or does not answer it, and messages to batchers are lost.
func TestCrashesCountElsewhereThoughTheStoreTurnsTheirGatewayAway(t *testing.T) {
	for name, c := range map[string]struct {
		silent bool
		lost   int64
	}{"refused": {}, "silent": {silent: true}, "messages lost": {lost: 4}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newStore(t)
				a, path, recorder := startTurnedAway(t, store)
				defer a.stop()
				b := startGateway(t, store)
				defer b.stop()
				path.silent.Store(c.silent)
				recorder.lost.Store(c.lost)
				for _, next := range []string{"n1", "n2", "n3"} {
					a.crash(true, next)
				}
				assert.Assert(t, b.quarantined())
				asked := recorder.asked.Load()
				time.Sleep(30 * time.Second)
				assert.Assert(t, recorder.asked.Load()-asked <= 18, "batchers are asked again and again")
				path.cut.Store(false)
				time.Sleep(5 * time.Second)
				assert.Assert(t, a.quarantined() && b.quarantined())
			})
		})
	}
}

// TestCrashesCountAtTheirGatewayBeforeTheyAreStored guards against a request that crashes one target after the other at a
// gateway that the store turns away. Those crashes count for a minute, and for the request only.
func TestCrashesCountAtTheirGatewayBeforeTheyAreStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s, _, recorder := startTurnedAway(t, store)
		defer s.stop()
		recorder.lost.Store(1000)
		s.crash(true, "n1")
		s.crash(true, "n2")
		assert.Assert(t, !s.quarantined(), "it runs to completion, and is cleared")
		for _, next := range []string{"n3", "n4", "n5"} {
			s.crash(true, next)
		}
		assert.Assert(t, s.quarantined())
		out := &sink{}
		other := &fleet.Request{ID: "r2", Method: "POST", Host: "h", URI: "/other", MaxWait: 5 * time.Second}
		s.sender.steps = []step{{events: events(1, 3)}}
		assert.NilError(t, s.Serve(t.Context(), routes["stream"], other, out))
		time.Sleep(2 * time.Minute)
		s.sender.steps = []step{crashing}
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, !errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
	})
}
