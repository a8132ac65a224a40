package batcher_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/coordination/registry"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestLongIDsHoldUpNoResult guards against results of all jobs that wait behind a record whose key
// holds a long ID (review/10). The batcher is restarted while the items run: the next one must
// resume those with long IDs, too, after what was saved of them.
func TestLongIDsHoldUpNoResult(t *testing.T) {
	for _, length := range []int{237, 238, 256, 4000} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, e := newFixture(t), newTarget()
				long := fleet.Job{ID: strings.Repeat("J", length), Host: "h"}
				for i := range 2 {
					id := strings.Repeat("0", length-1) + fmt.Sprint(i)
					long.Items = append(long.Items, fleet.Item{ID: id, Path: "/j/x", Header: http.Header{}})
				}
				first := s.start("b", e)
				s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: long, Route: "jobs", Path: "/j/1"}})
				s.accept("j", 2)
				time.Sleep(1800 * time.Millisecond)
				assert.Equal(t, e.busy(), slots)
				s.store.SetFaults(fleetstore.Faults{Down: true})
				assert.NilError(t, first.Stop())
				s.store.SetFaults(fleetstore.Faults{})
				second := s.start("b", e)
				time.Sleep(10 * time.Second)
				s.accept("later", 2)
				time.Sleep(5 * time.Second)
				for _, job := range []string{long.ID, "j", "later"} {
					s.checkCompleted(job)
				}
				for _, item := range long.Items {
					assert.Assert(t, e.resumedAfter(item.ID) >= 8, "resumed after event %d", e.resumedAfter(item.ID))
				}
				assert.NilError(t, second.Stop())
			})
		})
	}
}

// refusingStore is a store that refuses records of a topic for good while they are larger than
// maxBytes.
type refusingStore struct {
	*fleetstore.Store
	topic    fleet.Topic
	maxBytes atomic.Int64
}

// Append implements fleet.Store.
func (s *refusingStore) Append(ctx context.Context, t fleet.Topic, at int64, records []fleet.Record) (int64, error) {
	for _, r := range records {
		if t == s.topic && int64(len(r.Value)) > s.maxBytes.Load() {
			return 0, fleet.ErrUnstorable.New("record of %d bytes", len(r.Value))
		}
	}
	return s.Store.Append(ctx, t, at, records)
}

// startOn starts a batcher on the store, beside a target of the service llm by its settings.
func (s *fixture) startOn(store fleet.Store, name string, e *target) *batcher.Batcher {
	return s.startWith(store, decoder{s.config}, &fleet.Node{Name: name, TargetAddress: "t1", Service: "llm", MaxCallBytes: 1 << 20}, e)
}

// startWith starts a batcher with the settings.
func (s *fixture) startWith(store fleet.Store, d registry.Decoder, node *fleet.Node, e *target) *batcher.Batcher {
	return startBatcher(batcher.Params{Node: node, Store: store, Sender: e, Reporter: e, Decoder: d})
}

func startBatcher(p batcher.Params) *batcher.Batcher {
	b := batcher.New(p)
	b.Start()
	return b
}

// TestUnstorableOutputLosesNoItem guards against an item that is lost, with all results behind
// it, since the store does not take its output. The item is run again until the store does.
func TestUnstorableOutputLosesNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e := newFixture(t), newTarget()
		store := &refusingStore{Store: s.store, topic: fleet.TopicTexts}
		store.maxBytes.Store(int64(len(fullText("j0"))) + 2) // IDs of the other job are longer
		b := s.startOn(store, "b", e)
		s.accept("large-output", 1)
		s.accept("j", 2)
		time.Sleep(8 * time.Second)
		s.checkCompleted("j")
		assert.Equal(t, len(s.job("large-output").Results), 0)
		assert.Assert(t, e.sent("large-output0") > 1)
		store.maxBytes.Store(fleetstore.MaxRecordBytes)
		time.Sleep(8 * time.Second)
		s.checkCompleted("large-output")
		assert.NilError(t, b.Stop())
	})
}

// TestUnstorableReleaseStrandsNoItem guards against items that nobody runs, since the store does
// not take the record that gives them back with their output so far, while their holder lives.
func TestUnstorableReleaseStrandsNoItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, e, other := newFixture(t), newTarget(), newTarget()
		store := &refusingStore{Store: s.store, topic: fleet.TopicWork}
		store.maxBytes.Store(200) // a claim of two items fits, thirty events do not
		e.slowdown = 2
		first := s.startOn(store, "first", e)
		s.accept("j", 2)
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, e.busy(), 2)
		second := s.startOn(s.store, "second", other)
		e.set(func(e *target) { e.draining = true })
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, other.busy(), 2, "the items are given back, long before their holder counts as silent")
		time.Sleep(8 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, first.Stop())
		assert.NilError(t, second.Stop())
	})
}
