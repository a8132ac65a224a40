package gateway_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

var crashing = step{err: fleet.ErrAnswerBroken.New("reset")}

// crash sends a request whose connection is lost. If ends is set, its target's
// registration ends as after a crash, and the target next is registered in its place.
func (s *fixture) crash(ends bool, next string) {
	s.t.Helper()
	s.sender.steps = []step{crashing}
	_, err := s.serve(s.t.Context(), "stream")
	assert.Assert(s.t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown), "%v", err)
	assert.Assert(s.t, !errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
	if ends {
		s.removeTarget(s.sender.sent[len(s.sender.sent)-1].Target.ID)
		s.addTarget(next)
	}
	time.Sleep(2 * time.Second)
}

// quarantined reports whether the request is rejected as quarantined without being sent
// to a target.
func (s *fixture) quarantined() bool {
	sent := len(s.sender.sent)
	s.sender.steps = []step{{events: events(1, 3)}}
	_, err := s.serve(s.t.Context(), "stream")
	return errorx.IsOfType(err, fleet.ErrQuarantined) && len(s.sender.sent) == sent
}

// TestCrashingRequestIsStopped sends a request that crashes each target to two gateways
// in turn. The third crash quarantines it at both and at a gateway that starts later,
// until the suspicion expires.
func TestCrashingRequestIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startTwo(t, store)
		a.crash(true, "n1")
		b.crash(true, "n2")
		a.crash(true, "n3")
		assert.Assert(t, a.quarantined() && b.quarantined())
		later := startGateway(t, store)
		defer later.stop()
		assert.Assert(t, later.quarantined())
		time.Sleep(12 * time.Minute)
		assert.Assert(t, !a.quarantined() && !b.quarantined() && !later.quarantined())
	})
}

// stableWindow is the users' limit stable_window_ms: repeats of a request that come later
// than this after its third crash reach at most three targets.
const stableWindow = 3 * time.Second

// TestCrashesAreKnownBeforeHeartbeatsAreMissed crashes three targets whose registrations
// stay. If only the registry shows that a target has ended, repeats reach further targets
// for longer than stableWindow.
func TestCrashesAreKnownBeforeHeartbeatsAreMissed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startTwo(t, store)
		crashed := map[string]bool{}
		for i := 0; len(crashed) < 3; i++ {
			s := []*fixture{a, b}[i%2]
			s.sender.steps = []step{crashing}
			_, err := s.serve(t.Context(), "stream")
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown), "%v", err)
			address := s.sender.sent[len(s.sender.sent)-1].Target.Address
			s.ended.Store(address, true)
			crashed[address] = true
		}
		time.Sleep(stableWindow / 2)
		assert.Assert(t, a.quarantined() && b.quarantined())
	})
}

// TestFailureOfTargetClearsNoSuspicion lets a request crash two targets, get an error of a
// third, and crash a fourth. If any answer clears the request, it has three crashes to go
// after each error of a target.
func TestFailureOfTargetClearsNoSuspicion(t *testing.T) {
	for name, answer := range map[string]step{
		"error":              {status: http.StatusInternalServerError},
		"deadline":           {status: http.StatusGatewayTimeout},
		"nothing but an end": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startGateway(t, newStore(t))
				defer s.stop()
				s.crash(true, "n1")
				s.crash(true, "n2")
				s.sender.steps = []step{answer}
				_, err := s.serve(t.Context(), "stream")
				assert.NilError(t, err)
				time.Sleep(time.Second)
				s.crash(true, "n3")
				assert.Assert(t, s.quarantined())
			})
		})
	}
}

// TestQuarantineStopsFurtherAttempts lets the third crash happen while another gateway waits
// for its first attempt at the same request. When that attempt breaks off, the request is
// in quarantine and must not reach a further target.
func TestQuarantineStopsFurtherAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		a, b := startTwo(t, store)
		a.crash(true, "n1")
		b.crash(true, "n2")
		a.sender.steps = []step{{delay: time.Second, broken: true}, {events: events(1, 3)}}
		sent := len(a.sender.sent)
		ended := make(chan error)
		go func() {
			_, err := a.serve(t.Context(), "resumable")
			ended <- err
		}()
		synctest.Wait()
		b.sender.steps = []step{crashing}
		_, err := b.serve(t.Context(), "stream")
		assert.Assert(t, err != nil)
		b.ended.Store(b.sender.sent[len(b.sender.sent)-1].Target.Address, true)
		err = <-ended
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
		assert.Equal(t, len(a.sender.sent)-sent, 1)
	})
}

// TestInnocentRequestsAreNotQuarantined checks requests whose connections are lost while
// their targets go on, and requests that ran to completion between the crashes that they
// were in flight at.
func TestInnocentRequestsAreNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
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

// TestCrashAppendIsRetried loses the first two appends of a crash record.
func TestCrashAppendIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
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
