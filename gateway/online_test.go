package gateway_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestOutcomes checks for each kind of route what becomes of a request whose
// targets take the steps: what its caller gets, and how often it was sent.
func TestOutcomes(t *testing.T) {
	lost := step{err: fleet.ErrBroken.New("no answer")}
	unreachable := step{err: fleet.ErrNotDelivered.New("refused")}
	full := step{verdict: fleet.VerdictNotRun, status: 503}
	other := step{verdict: fleet.VerdictOtherTarget, status: 421}
	foreign := step{verdict: fleet.VerdictForeign}
	good := step{events: events(1, 3)}
	for name, test := range map[string]struct {
		route string
		steps []step
		body  string
		err   *errorx.Type
		sent  int
	}{
		"a stream passes":                         {"resumable", []step{good}, whole, nil, 1},
		"a cut stream goes on":                    {"resumable", []step{{events: events(1, 2), broken: true}, {events: events(3, 3)}}, whole, nil, 2},
		"half an event is not passed":             {"resumable", []step{{events: []string{"id: 1\ndata: token 1\n\nid: 2\nda"}, broken: true}, {events: events(2, 3)}}, whole, nil, 2},
		"a stream is cut more often than allowed": {"resumable", []step{{events: events(1, 1), broken: true}, {events: events(2, 2), broken: true}, good}, text(events(1, 2)...), fleet.ErrUncertain, 2},
		"another stream must not be repeated":     {"stream", []step{{events: events(1, 1), broken: true}, good}, text(events(1, 1)...), fleet.ErrUncertain, 1},
		"a lost call must not be repeated":        {"unsafe", []step{lost, good}, "", fleet.ErrUncertain, 1},
		"a foreign answer may hide a run":         {"unsafe", []step{foreign, good}, "", fleet.ErrUncertain, 1},
		"an unsigned answer may hide a run":       {"unsafe", []step{{unsigned: true}, good}, "", fleet.ErrUncertain, 1},
		"a call that was not run moves on":        {"unsafe", []step{full, other, unreachable, good}, whole, nil, 4},
		"a call that nobody ran is refused":       {"unsafe", []step{full, full, full, full, good}, "", fleet.ErrRefused, 4},
		"a call lost after refusals is uncertain": {"unsafe", []step{full, lost}, "", fleet.ErrUncertain, 2},
		"a safe call is repeated":                 {"safe", []step{lost, foreign, good}, whole, nil, 3},
		"a safe call is not repeated for ever":    {"safe", []step{lost, lost, lost, good}, "", fleet.ErrUncertain, 3},
		"a broken whole answer is repeated":       {"safe", []step{{events: events(1, 1), broken: true}, good}, whole, nil, 2},
		"a failed safe call is repeated":          {"safe", []step{{status: 500}, good}, whole, nil, 2},
		"a target's failure passes":               {"unsafe", []step{{status: 500, events: []string{"oops"}}}, "oops", nil, 1},
		"a target's promise does not":             {"unsafe", []step{{status: 503}}, "", fleet.ErrUncertain, 1},
		"all targets are gone":                    {"safe", nil, "", fleet.ErrRefused, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startSite(t, newStore(t), test.steps...)
				defer s.stop()
				body, err := s.serve(t.Context(), test.route)
				assert.Equal(t, body, test.body)
				if test.err == nil {
					assert.NilError(t, err)
				} else {
					assert.Assert(t, errorx.IsOfType(err, test.err), "%v", err)
				}
				assert.Equal(t, len(s.sender.sent), test.sent)
			})
		})
	}
}

// TestAttemptsNameTheRest checks what each attempt of a resumed stream carries.
func TestAttemptsNameTheRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), step{events: events(1, 2), broken: true}, step{events: events(3, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "resumable")
		assert.NilError(t, err)
		first, second := s.sender.sent[0], s.sender.sent[1]
		assert.Equal(t, first.After, "")
		assert.Equal(t, second.After, "2")
		assert.Assert(t, first.Target.ID != second.Target.ID)
		assert.Equal(t, first.TimeLeft, 5*time.Second)
	})
}

// TestDarkTarget replays a target that goes silent before or in a stream: the
// stream goes on elsewhere, where it may, and ends with its route's time, where not.
func TestDarkTarget(t *testing.T) {
	for _, had := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := startSite(t, newStore(t), step{events: events(1, had), silent: true}, step{events: events(had+1, 3)})
			defer s.stop()
			begun := time.Now()
			body, err := s.serve(t.Context(), "resumable")
			assert.NilError(t, err)
			assert.Equal(t, body, whole)
			assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		begun := time.Now()
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Equal(t, time.Since(begun), 5*time.Second)
	})
}

// TestCallerLeaves ends the attempt with its caller.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), step{silent: true})
		defer s.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		begun := time.Now()
		_, err := s.serve(ctx, "resumable")
		assert.Assert(t, err != nil)
		assert.Equal(t, time.Since(begun), 100*time.Millisecond)
		assert.Equal(t, len(s.sender.sent), 1)
	})
}

// TestDrain lets a request end that runs when the gateway is told to stop.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		go func() { _, _ = s.serve(ctx, "stream") }()
		synctest.Wait()
		assert.Assert(t, s.Ready())
		begun := time.Now()
		s.Drain()
		assert.Assert(t, !s.Ready() && s.Closing())
		took := time.Since(begun)
		assert.Assert(t, took >= 4*time.Second && took < 4500*time.Millisecond, "%v", took)
	})
}

// TestLateRequestIsRefused keeps sending to a gateway that was told to stop, as
// callers do while too few others are ready: what comes late is refused before it
// runs, so that nothing is cut at the end.
func TestLateRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := step{events: events(1, 1), silent: true}
		s := startSite(t, newStore(t), long, long, long, long, long, long, long, long, long, long)
		defer s.stop()
		var refused atomic.Int32
		go func() {
			for range 10 {
				time.Sleep(time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				_, err := s.serve(ctx, "stream")
				cancel()
				if errorx.IsOfType(err, fleet.ErrRefused) {
					refused.Add(1)
				}
			}
		}()
		begun := time.Now()
		s.Drain()
		synctest.Wait()
		assert.Assert(t, time.Since(begun) < 6*time.Second, "%v", time.Since(begun))
		time.Sleep(30 * time.Second)
		assert.Assert(t, refused.Load() >= 7, "%d refused", refused.Load())
	})
}

// TestLostPowerEverywhere replays targets that have all started anew while their
// old registrations stand: each is asked once, and the caller of a service
// without targets is told to come back when one may have registered.
func TestLostPowerEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := step{verdict: fleet.VerdictOtherTarget, status: 421}
		s := startSite(t, newStore(t), other, other, other, other, other, other)
		defer s.stop()
		for range 2 {
			_, err := s.serve(t.Context(), "safe")
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrRefused), "%v", err)
		}
		assert.Equal(t, len(s.sender.sent), 6)
		_, err := s.serve(t.Context(), "safe")
		assert.Equal(t, fleet.RetryAfterOf(err), time.Second)
		assert.Equal(t, len(s.sender.sent), 6)
	})
}

// TestFullTargetIsLeftEarly replays a burst in which a target queues a stream: it
// moves on in time to begin elsewhere within its objective, once, and stays where
// every target is full.
func TestFullTargetIsLeftEarly(t *testing.T) {
	queued := step{silent: true}
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), queued, step{events: events(1, 3)})
		defer s.stop()
		begun := time.Now()
		body, err := s.serve(t.Context(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, whole)
		assert.Assert(t, time.Since(begun) <= routes["quick"].Objective/2, "%v", time.Since(begun))
	})
	synctest.Test(t, func(t *testing.T) {
		s := startSite(t, newStore(t), queued, queued, step{events: events(1, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "quick")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Equal(t, len(s.sender.sent), 2)
	})
}

// TestStreamStaysAtTheOnlyTarget replays a moment in which all other targets have
// left, and the last one is full: a stream waits there for its turn, and moves on
// once another target has registered.
func TestStreamStaysAtTheOnlyTarget(t *testing.T) {
	start := func(t *testing.T, steps ...step) *site {
		s := startSite(t, newStore(t), steps...)
		s.removeTargets()
		s.addTarget("t0")
		time.Sleep(time.Second)
		return s
	}
	synctest.Test(t, func(t *testing.T) {
		s := start(t, step{delay: time.Second, events: events(1, 3)}, step{err: fleet.ErrNotDelivered.New("another target")})
		defer s.stop()
		body, err := s.serve(t.Context(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, whole)
		assert.Equal(t, len(s.sender.sent), 1)
	})
	synctest.Test(t, func(t *testing.T) {
		s := start(t, step{silent: true}, step{events: events(1, 3)})
		defer s.stop()
		go func() {
			time.Sleep(500 * time.Millisecond)
			s.addTarget("t7")
		}()
		body, err := s.serve(t.Context(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, whole)
		assert.Equal(t, s.sender.sent[1].Target.ID, "t7")
	})
}

// TestHugeAnswerIsNotCut fails an answer that is too large to be held, rather than
// passing a part of it on as the whole.
func TestHugeAnswerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		huge := step{}
		for range 5 << 10 {
			huge.events = append(huge.events, strings.Repeat("x", 1000))
		}
		s := startSite(t, newStore(t), huge)
		defer s.stop()
		body, err := s.serve(t.Context(), "unsafe")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrUncertain), "%v", err)
		assert.Equal(t, len(body), 0)
	})
}
