package gateway_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
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
			_, err := s.Match("h", "/added/")
			assert.Assert(t, errorx.IsOfType(err, want), "%v", err)
			_, err = s.Match("h", "/safe/x")
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
		_, err := s.Results(t.Context(), "unknown", 0, 0)
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
		s.store.SetFaults(fleetstore.Faults{})
		time.Sleep(3 * time.Second)
		assert.NilError(t, s.submit(job("one", 1)))
	})
}
