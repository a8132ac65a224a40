package sidecar

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
	"github.com/sycamoretally/sycamoretally/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const chatBody = `{"model":"m","max_tokens":4,"messages":[{"role":"user","content":"q"}]}`

func attempt(id string, class protocol.Class) *protocol.AttemptRequest {
	return &protocol.AttemptRequest{Attempt: id, Class: class, Call: protocol.Call{Model: true, Body: []byte(chatBody)}}
}

// newTestRunner returns a runner and its engine with the given number of slots.
func newTestRunner(t testing.TB, slots int) (*runner, *engine.Engine) {
	t.Helper()
	e := engine.New(engine.Params{Width: slots, RestartTime: time.Second})
	server := httptest.NewServer(e.Handler())
	r := newRunner(settings.Target{
		Name: "t", Type: settings.TargetEngine, URL: server.URL, Slots: slots, Queue: 4,
		StallTimeout: settings.Duration(protocol.HeartbeatInterval),
	}, settings.Policy{}, func(string, string, ...string) {})
	r.crashDetector = (&fakeTarget{boot: "1"}).newDetector()
	t.Cleanup(func() {
		r.engine.Close()
		server.Close()
	})
	return r, e
}

// waitingAttempt starts to admit an attempt in the background and returns once it waits
// for a slot. The channel gets the result of the admission.
func waitingAttempt(ctx context.Context, t *testing.T, r *runner, id string) <-chan error {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		_, release, err := r.admit(ctx, attempt(id, protocol.ClassOnline))
		if err == nil {
			release()
		}
		ended <- err
	}()
	for r.report().Queued == 0 {
		<-time.After(time.Millisecond)
	}
	return ended
}

// TestLeavingTurnsWaitingAway marks the target as leaving in each way: waiting attempts are
// refused as not run, even if a slot becomes free at the same moment.
func TestLeavingTurnsWaitingAway(t *testing.T) {
	ways := map[string]func(r *runner, release func()){
		"signal": func(r *runner, _ func()) { r.setLeaving() },
		"label":  func(r *runner, _ func()) { r.setDrained(true) },
		"list": func(r *runner, release func()) {
			r.mu.Lock()
			r.listedLeaving = func() bool { return true }
			r.mu.Unlock()
			release()
		},
	}
	for name, mark := range ways {
		t.Run(name, func(t *testing.T) {
			r, _ := newTestRunner(t, 1)
			_, release, err := r.admit(t.Context(), attempt("a", protocol.ClassOnline))
			assert.NilError(t, err)
			ended := waitingAttempt(t.Context(), t, r, "b")
			mark(r, release)
			err = <-ended
			assert.Assert(t, errorx.IsOfType(err, protocol.ErrLeaving), "%v", err)
			_, _, err = r.admit(t.Context(), attempt("c", protocol.ClassBatch))
			assert.Assert(t, errorx.IsOfType(err, protocol.ErrLeaving), "%v", err)
			assert.Assert(t, errorx.IsOfType(r.checkAccepting(), protocol.ErrLeaving))
			assert.Equal(t, r.spareSlots(), 0)
			release()
			report := r.report()
			assert.DeepEqual(t, []int{report.Online, report.Queued}, []int{0, 0})
		})
	}
}

// TestCancelledAttemptLeavesQueue checks that an attempt whose caller disconnects while it
// waits leaves the queue and counts as not run.
func TestCancelledAttemptLeavesQueue(t *testing.T) {
	r, _ := newTestRunner(t, 1)
	_, release, err := r.admit(t.Context(), attempt("a", protocol.ClassOnline))
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := waitingAttempt(ctx, t, r, "b")
	cancel()
	err = <-ended
	assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeNotRun, "%v", err)
	assert.Equal(t, r.report().Queued, 0)
	release()
}

// TestDuplicateAttempt delivers an attempt twice: the second delivery must not report that
// nothing was run.
func TestDuplicateAttempt(t *testing.T) {
	r, _ := newTestRunner(t, 4)
	_, release, err := r.admit(t.Context(), attempt("a", protocol.ClassOnline))
	assert.NilError(t, err)
	_, _, err = r.admit(t.Context(), attempt("a", protocol.ClassOnline))
	assert.Equal(t, protocol.OutcomeOf(err), protocol.OutcomeUnknown, "%v", err)
	assert.Equal(t, r.report().Online, 1)
	release()
}

// TestStalledEngineKeepsSlot stalls the engine: the attempt ends, and its slot is free
// again only once the engine confirms that it has stopped the attempt.
func TestStalledEngineKeepsSlot(t *testing.T) {
	r, e := newTestRunner(t, 1)
	e.SetFaults(engine.Faults{Stalls: 1, KeepsRunning: true})
	a := attempt("a", protocol.ClassOnline)
	ctx, release, err := r.admit(t.Context(), a)
	assert.NilError(t, err)
	err = r.generate(ctx, a, time.Time{}, func(string) error { return nil })
	assert.Assert(t, errorx.IsOfType(err, protocol.ErrTruncated), "%v", err)
	release()
	assert.Equal(t, r.report().Lost, 1)
	r.reclaimLostSlots(t.Context())
	assert.Equal(t, r.report().Lost, 1, "the engine still runs the attempt")
	e.SetFaults(engine.Faults{})
	r.reclaimLostSlots(t.Context())
	assert.Equal(t, r.report().Lost, 0)
	assert.Equal(t, r.spareSlots(), 1)
}

// TestFailedSinkStopsEngine breaks the stream on the caller's side: the engine is told to
// stop before the slot is freed.
func TestFailedSinkStopsEngine(t *testing.T) {
	r, e := newTestRunner(t, 1)
	a := attempt("a", protocol.ClassOnline)
	ctx, release, err := r.admit(t.Context(), a)
	assert.NilError(t, err)
	errSink := protocol.ErrTruncated.New("the entry has gone")
	err = r.generate(ctx, a, time.Time{}, func(string) error { return errSink })
	assert.Equal(t, err, error(errSink))
	release()
	assert.Equal(t, r.report().Lost, 0)
	_, release, err = r.admit(t.Context(), attempt("b", protocol.ClassOnline))
	assert.NilError(t, err)
	release()
	assert.Equal(t, e.Queued(), 0)
}
