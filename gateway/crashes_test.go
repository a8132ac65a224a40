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

var crashing = step{err: fleet.ErrBroken.New("reset")}

// crash sends the request and ends the target that had it, if ends is set, as a crash
// does; another one takes its place.
func (s *site) crash(ends bool, next string) {
	s.t.Helper()
	s.sender.steps = []step{crashing}
	_, err := s.serve(s.t.Context(), "stream")
	assert.Assert(s.t, errorx.IsOfType(err, fleet.ErrUncertain), "%v", err)
	assert.Assert(s.t, !errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
	if ends {
		s.removeTarget(s.sender.sent[len(s.sender.sent)-1].Target.ID)
		s.addTarget(next)
	}
	time.Sleep(2 * time.Second)
}

// quarantined reports whether the request is given up at once and reaches no target.
func (s *site) quarantined() bool {
	sent := len(s.sender.sent)
	s.sender.steps = []step{{events: events(1, 3)}}
	_, err := s.serve(s.t.Context(), "stream")
	return errorx.IsOfType(err, fleet.ErrQuarantined) && len(s.sender.sent) == sent
}

// TestCrashingRequestIsStopped sends a request that crashes each target to two gateways
// by turns: the third crash convicts it at both, at one that starts later, and until
// it was long ago.
func TestCrashingRequestIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startSite(t, store), startSite(t, store)
		defer a.stop()
		defer b.stop()
		a.crash(true, "n1")
		b.crash(true, "n2")
		a.crash(true, "n3")
		assert.Assert(t, a.quarantined() && b.quarantined())
		later := startSite(t, store)
		defer later.stop()
		assert.Assert(t, later.quarantined())
		time.Sleep(12 * time.Minute)
		assert.Assert(t, !a.quarantined() && !b.quarantined() && !later.quarantined())
	})
}

// TestInnocentRequestsRunOn keeps requests going whose connections are lost, and those
// that ran well between the crashes that they were in flight at.
func TestInnocentRequestsRunOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t))
		defer s.stop()
		for range 4 {
			s.crash(false, "")
		}
		assert.Assert(t, !s.quarantined(), "no target has ended")
		for _, next := range []string{"n1", "n2", "n3", "n4"} {
			s.crash(true, next)
			assert.Assert(t, !s.quarantined())
			time.Sleep(time.Second)
		}
	})
}

// TestCrashesAreToldAgain loses the first appends of what is to be told.
func TestCrashesAreToldAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startSite(t, store)
		defer s.stop()
		s.crash(true, "n1")
		s.crash(true, "n2")
		s.sender.steps = []step{crashing}
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, err != nil)
		s.removeTarget(s.sender.sent[len(s.sender.sent)-1].Target.ID)
		store.SetFaults(fleetstore.Faults{LoseAppends: 2})
		time.Sleep(5 * time.Second)
		assert.Assert(t, s.quarantined())
	})
}
