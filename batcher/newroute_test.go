package batcher_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/batcher"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// versions decodes a configuration record by the version that is its value.
type versions map[string]*fleet.Configuration

func (v versions) Configuration(r fleet.Record) (*fleet.Configuration, error) {
	return v[string(r.Value)], nil
}

func (versions) Target(r fleet.Record) (*fleet.Target, error) { return decodeTarget(r) }

// withheld is a store that does not answer reads of the configuration while hidden is set.
type withheld struct {
	*fleetstore.Store
	hidden atomic.Bool
}

func (s *withheld) Read(ctx context.Context, t fleet.Topic, from int64) (fleet.Page, error) {
	if t == fleet.TopicConfiguration && s.hidden.Load() {
		<-ctx.Done()
		return fleet.Page{}, fleet.ErrStoreUnavailable.Wrap(ctx.Err(), "read")
	}
	return s.Store.Read(ctx, t, from)
}

func jobsRoute(name, prefix, service string) *fleet.Route {
	return &fleet.Route{Name: name, Host: "h", Prefix: prefix, Kind: fleet.KindBatch, MaxAttempts: 3, Services: []fleet.ServiceWeight{{Service: service, Weight: 1}}}
}

// TestUnreadRouteIsNotTakenForRemoved lets a batcher read of a job before it reads the
// version of the configuration that added the job's route. The older version has no route
// for the job, or a wider one to the batcher's service where the new one goes to another.
// The batcher must neither give the items up nor run them, until it has read that version.
func TestUnreadRouteIsNotTakenForRemoved(t *testing.T) {
	for name, c := range map[string]struct {
		older, added *fleet.Route
		runs         bool
	}{
		"no route":        {jobsRoute("first", "/other/", "llm"), jobsRoute("added", "/j/", "llm"), true},
		"a wider route":   {jobsRoute("first", "/", "llm"), jobsRoute("added", "/j/", "other"), false},
		"an online route": {&fleet.Route{Name: "first", Host: "h", Prefix: "/", Kind: fleet.KindSafe}, jobsRoute("added", "/j/", "llm"), true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				services := []*fleet.Service{{Name: "llm", Slots: slots}}
				configs := versions{
					"1": fleet.NewConfiguration(1, []*fleet.Route{c.older}, services, fleet.Limits{}),
					"2": fleet.NewConfiguration(2, []*fleet.Route{c.older, c.added}, services, fleet.Limits{}),
				}
				s, e := newFixture(t), newTarget()
				store := &withheld{Store: s.store}
				b := batcher.New(batcher.Params{
					Node:  &fleet.Node{Name: "b", TargetAddress: "t1", Service: "llm", MaxCallBytes: 1 << 20},
					Store: store, Sender: e, Reporter: e, Decoder: configs,
				})
				b.Start()
				time.Sleep(2 * time.Second)
				store.hidden.Store(true)
				_, err := s.store.Append(t.Context(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: []byte("2")}})
				assert.NilError(t, err)
				job := fleet.Job{ID: "j", Host: "h", Items: []fleet.Item{{ID: "j0", Path: "/j/x", Header: http.Header{}}}}
				s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: job, Route: "added", Path: "/j/1", ConfigVersion: 2}})
				time.Sleep(10 * time.Second)
				assert.Equal(t, len(s.job("j").Results), 0, "items given up or run by an outdated configuration")
				assert.Equal(t, e.sent(""), 0)
				store.hidden.Store(false)
				time.Sleep(10 * time.Second)
				if c.runs {
					s.checkCompleted("j")
				} else {
					assert.Equal(t, len(s.job("j").Results), 0)
					assert.Equal(t, e.sent(""), 0, "the route goes to another service")
				}
				assert.NilError(t, b.Stop())
			})
		})
	}
}

// TestItemsOfMovedRouteAreGivenBack moves the route of a job to another service while online
// requests preempt its items, which stay held. Once there is room again they must not run at
// the service that the route has left, but be given back with their progress.
func TestItemsOfMovedRouteAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := []*fleet.Service{{Name: "llm", Slots: slots}}
		configs := versions{
			"1": fleet.NewConfiguration(1, []*fleet.Route{jobsRoute("jobs", "/j/", "llm")}, services, fleet.Limits{}),
			"2": fleet.NewConfiguration(2, []*fleet.Route{jobsRoute("jobs", "/j/", "other")}, services, fleet.Limits{}),
		}
		s, e := newFixture(t), newTarget()
		s.accept("j", slots)
		b := batcher.New(batcher.Params{
			Node:  &fleet.Node{Name: "b", TargetAddress: "t1", Service: "llm", MaxCallBytes: 1 << 20},
			Store: s.store, Sender: e, Reporter: e, Decoder: configs,
		})
		b.Start()
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, e.busy(), slots)
		e.set(func(e *target) { e.online = slots })
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, e.busy(), 0)
		sends := e.sent("")
		_, err := s.store.Append(t.Context(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: []byte("2")}})
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		e.set(func(e *target) { e.online = 0 })
		time.Sleep(5 * time.Second)
		assert.Equal(t, e.sent(""), sends, "items ran at the service that their route has left")
		for _, item := range s.job("j").Items {
			assert.Equal(t, item.Holder, "")
			assert.Assert(t, item.Progress.Events > 0)
		}
		assert.NilError(t, b.Stop())
	})
}

// TestAddedRouteEndsNoAcceptedItem guards against dead letters of accepted items (review/7): half
// of a job's items wait when the operator adds an online route with a longer prefix at the path
// of its submission.
func TestAddedRouteEndsNoAcceptedItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		jobs := jobsRoute("jobs", "/j/", "llm")
		added := &fleet.Route{Name: "desk", Host: "h", Prefix: "/j/night/", Kind: fleet.KindStream, Services: []fleet.ServiceWeight{{Service: "other", Weight: 1}}}
		services := []*fleet.Service{{Name: "llm", Slots: slots}}
		configs := versions{
			"1": fleet.NewConfiguration(1, []*fleet.Route{jobs}, services, fleet.Limits{}),
			"2": fleet.NewConfiguration(2, []*fleet.Route{jobs, added}, services, fleet.Limits{}),
		}
		s, e := newFixture(t), newTarget()
		job := fleet.Job{ID: "j", Host: "h"}
		for i := range 2 * slots {
			job.Items = append(job.Items, fleet.Item{ID: fmt.Sprint("j", i), Path: "/j/x", Header: http.Header{}})
		}
		s.appendEntry(worklog.Entry{Accept: &worklog.Accept{Job: job, Route: "jobs", Path: "/j/night/1", ConfigVersion: 1}})
		b := s.startWith(s.store, configs, &fleet.Node{Name: "b", TargetAddress: "t1", Service: "llm", MaxCallBytes: 1 << 20}, e)
		time.Sleep(1500 * time.Millisecond)
		assert.Equal(t, e.busy(), slots)
		_, err := s.store.Append(t.Context(), fleet.TopicConfiguration, fleet.AnyOffset, []fleet.Record{{Key: "config", Value: []byte("2")}})
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		s.checkCompleted("j")
		assert.NilError(t, b.Stop())
	})
}
