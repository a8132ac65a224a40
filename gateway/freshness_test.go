package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
	"github.com/sycamoretally/sycamoretally/state/worklog"
)

// TestUnknownRouteDuringOutage asks for a route that a gateway does not know while the
// store rejects the gateway. The route may have been added meanwhile, so the caller must
// be told to try another gateway, not that the route does not exist. Known routes are
// served all the time.
func TestUnknownRouteDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		check := func(want *errorx.Type) {
			t.Helper()
			_, _, err := s.Match(t.Context(), "h", "/added/", "")
			assert.Assert(t, errorx.IsOfType(err, want), "%v", err)
			_, _, err = s.Match(t.Context(), "h", "/safe/x", "")
			assert.NilError(t, err)
		}
		check(fleet.ErrNoRoute)
		s.store.SetFaults(fleetstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		check(fleet.ErrRefused)
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(time.Second)
		check(fleet.ErrNoRoute)
	})
}

// TestJobsBeforeTheFirstRead submits a job and asks for another one at a gateway that has
// not read the work log. It knows neither the tokens that wait nor the jobs that were
// accepted, so it must refuse both at once and tell nobody that a job does not exist.
func TestJobsBeforeTheFirstRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		store.SetFaults(fleetstore.Faults{Down: true})
		s := startGateway(t, store)
		defer s.stop()
		assert.Assert(t, errorx.IsOfType(s.submit(job("one", 1)), fleet.ErrRefused))
		_, err := s.Results(t.Context(), nil, "unknown", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(3 * time.Second)
		assert.NilError(t, s.submit(job("one", 1)))
	})
}

// lateStore is a store whose answers to reads of the work log arrive late.
type lateStore struct {
	fleet.Store
	late time.Duration
}

// Read implements fleet.Store.
func (s *lateStore) Read(ctx context.Context, t fleet.Topic, from int64) (fleet.Page, error) {
	page, err := s.Store.Read(ctx, t, from)
	if t != fleet.TopicWork {
		return page, err
	}
	select {
	case <-time.After(s.late):
		return page, err
	case <-ctx.Done():
		return fleet.Page{}, fleet.ErrStoreOutcomeUnknown.Wrap(ctx.Err(), "store call")
	}
}

// TestOldViewHidesNoResult finishes items while one gateway reads the log late, and reads them
// there at any time a second or more after they were stored. They must be found or refused.
func TestOldViewHidesNoResult(t *testing.T) {
	for _, late := range []time.Duration{0, 300 * time.Millisecond, 600 * time.Millisecond, 850 * time.Millisecond} {
		for _, wait := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%v late, wait %v", late, wait), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { readLate(t, late, wait) })
			})
		}
	}
}

// readLate finishes an item every 100 ms and reads each at its position 1,010 ms later.
func readLate(t *testing.T, late, wait time.Duration) {
	const items = 40
	store := newStore(t)
	s := startGateway(t, store)
	defer s.stop()
	large := job("job", items)
	for i := range large.Items {
		large.Items[i].Tokens = 1
	}
	assert.NilError(t, s.submit(large))
	slow := startThrough(t, &lateStore{store, late}, store)
	defer slow.stop()
	time.Sleep(3 * time.Second)
	var readers sync.WaitGroup
	w := worklog.NewWriter("b")
	var found atomic.Int32
	for i := range items {
		finish(t, store, w, "job", fmt.Sprint("i", i), "text")
		readers.Go(func() {
			time.Sleep(1010 * time.Millisecond)
			page, err := slow.Results(t.Context(), nil, "job", i, wait)
			switch {
			case err == nil && len(page.Results) > 0:
				found.Add(1)
			case !errorx.IsOfType(err, fleet.ErrRefused):
				t.Errorf("position %d: %d results, %v", i, len(page.Results), err)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	readers.Wait()
	assert.Assert(t, found.Load() > 0)
}

// TestOldViewHidesNoHost accepts jobs on hosts without a route while one gateway reads the log
// late, and asks it a second later whether it has jobs of them. Callers whose job is taken for
// a path without a route get 404.
func TestOldViewHidesNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
		defer s.stop()
		slow := startThrough(t, &lateStore{store, 600 * time.Millisecond}, store)
		defer slow.stop()
		time.Sleep(3 * time.Second)
		var callers sync.WaitGroup
		var found atomic.Int32
		for i := range 40 {
			one := job(fmt.Sprint("job", i), 1)
			one.Host, one.Items[0].Tokens = fmt.Sprint("host", i), 1
			assert.NilError(t, s.submit(one))
			callers.Go(func() {
				time.Sleep(1010 * time.Millisecond)
				has, err := slow.HasJobs(t.Context(), one.Host)
				if has {
					found.Add(1)
				}
				assert.Check(t, has || errorx.IsOfType(err, fleet.ErrRefused), "%s: %v", one.Host, err)
			})
			time.Sleep(100 * time.Millisecond)
		}
		callers.Wait()
		assert.Assert(t, found.Load() > 0)
	})
}
