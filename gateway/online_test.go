package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/standin/fleetstore"
)

// TestOutcomes checks, for each kind of route, the outcome of a request whose targets
// follow the steps: what its caller gets, and how often it was sent.
func TestOutcomes(t *testing.T) {
	lost := step{err: fleet.ErrAnswerBroken.New("no answer")}
	unreachable := step{err: fleet.ErrNotDelivered.New("refused")}
	full := step{verdict: fleet.VerdictNotRun, status: 503}
	other := step{verdict: fleet.VerdictWrongTarget, status: 421}
	foreign := step{verdict: fleet.VerdictForeign}
	good := step{events: events(1, 3)}
	for name, test := range map[string]struct {
		route string
		steps []step
		body  string
		err   *errorx.Type
		sent  int
	}{
		"a stream is relayed":                                {"resumable", []step{good}, fullStream, nil, 1},
		"a broken stream is resumed":                         {"resumable", []step{{events: events(1, 2), broken: true}, {events: events(3, 3)}}, fullStream, nil, 2},
		"half an event is not relayed":                       {"resumable", []step{{events: []string{"id: 1\ndata: token 1\n\nid: 2\nda"}, broken: true}, {events: events(2, 3)}}, fullStream, nil, 2},
		"a stream that ends within an event is resumed":      {"resumable", []step{{events: []string{"id: 1\ndata: token 1\n\nid: 2\nda"}}, {events: events(2, 3)}}, fullStream, nil, 2},
		"a stream that ends within an event is not complete": {"stream", []step{{events: []string{"id: 1\ndata: token 1\n\nid: 2\nda"}}, good}, text(events(1, 1)...), fleet.ErrOutcomeUnknown, 1},
		"a stream breaks off too often":                      {"resumable", []step{{events: events(1, 1), broken: true}, {events: events(2, 2), broken: true}, good}, text(events(1, 2)...), fleet.ErrOutcomeUnknown, 2},
		"an unresumable stream is not repeated":              {"stream", []step{{events: events(1, 1), broken: true}, good}, text(events(1, 1)...), fleet.ErrOutcomeUnknown, 1},
		"a stream that repeats events is resumed":            {"resumable", []step{{events: append(events(1, 2), events(1, 2)...), broken: true}, {events: events(3, 3)}}, fullStream, nil, 2},
		"a stream that repeats events at once is resumed":    {"resumable", []step{{events: []string{text(events(1, 2)...) + text(events(2, 3)...)}}, {events: events(3, 3)}}, fullStream, nil, 2},
		"a stream that leaves an event out is resumed":       {"resumable", []step{{events: append(events(1, 1), events(3, 3)...)}, {events: events(2, 3)}}, fullStream, nil, 2},
		"a stream without its first event is sent again":     {"resumable", []step{{events: events(2, 3)}, good}, fullStream, nil, 2},
		"a stream resumed from its start is not complete":    {"resumable", []step{{events: events(1, 2), broken: true}, good}, text(events(1, 2)...), fleet.ErrOutcomeUnknown, 2},
		"an unresumable stream that repeats events is cut":   {"stream", []step{{events: append(events(1, 2), events(2, 3)...)}, good}, text(events(1, 2)...), fleet.ErrOutcomeUnknown, 1},
		"a lost unsafe call is not repeated":                 {"unsafe", []step{lost, good}, "", fleet.ErrOutcomeUnknown, 1},
		"a foreign answer may hide a run":                    {"unsafe", []step{foreign, good}, "", fleet.ErrOutcomeUnknown, 1},
		"an unsigned answer may hide a run":                  {"unsafe", []step{{unsigned: true}, good}, "", fleet.ErrOutcomeUnknown, 1},
		"a call that was not run is retried":                 {"unsafe", []step{full, other, unreachable, good}, fullStream, nil, 4},
		"a call that no target ran is refused":               {"unsafe", []step{full, full, full, full, good}, "", fleet.ErrRefused, 4},
		"a call lost after refusals is uncertain":            {"unsafe", []step{full, lost}, "", fleet.ErrOutcomeUnknown, 2},
		"a safe call is repeated":                            {"safe", []step{lost, foreign, good}, fullStream, nil, 3},
		"a safe call's attempts are bounded":                 {"safe", []step{lost, lost, lost, good}, "", fleet.ErrOutcomeUnknown, 3},
		"a call with a broken answer is repeated":            {"safe", []step{{events: events(1, 1), broken: true}, good}, fullStream, nil, 2},
		"a failed safe call is repeated":                     {"safe", []step{{status: 500}, good}, fullStream, nil, 2},
		"a target's failure is relayed":                      {"unsafe", []step{{status: 500, events: []string{"oops"}}}, "oops", nil, 1},
		"a target's 503 is not relayed":                      {"unsafe", []step{{status: 503}}, "", fleet.ErrOutcomeUnknown, 1},
		"all targets are gone":                               {"safe", nil, "", fleet.ErrRefused, 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startGateway(t, newStore(t), test.steps...)
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

// TestAttemptsOfResumedStream checks what each attempt of a resumed stream carries: the
// last event, another target and the time left.
func TestAttemptsOfResumedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{events: events(1, 2), broken: true}, step{events: events(3, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "resumable")
		assert.NilError(t, err)
		first, second := s.sender.sent[0], s.sender.sent[1]
		assert.Equal(t, first.LastEventID, "")
		assert.Equal(t, second.LastEventID, "2")
		assert.Assert(t, first.Target.ID != second.Target.ID)
		assert.Equal(t, first.TimeLeft, 5*time.Second)
	})
}

// TestUnresponsiveTarget sends a stream to a target that becomes unresponsive before or
// during it. A resumable stream must be resumed at another target. Another stream ends
// with its route's timeout.
func TestUnresponsiveTarget(t *testing.T) {
	for _, received := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			s := startGateway(t, newStore(t), step{events: events(1, received), silent: true}, step{events: events(received+1, 3)})
			defer s.stop()
			begun := time.Now()
			body, err := s.serve(t.Context(), "resumable")
			assert.NilError(t, err)
			assert.Equal(t, body, fullStream)
			assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
		})
	}
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		begun := time.Now()
		_, err := s.serve(t.Context(), "stream")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Equal(t, time.Since(begun), 5*time.Second)
	})
}

// TestCallerDisconnects checks that an attempt ends when its caller's context does, and
// is not repeated.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{silent: true})
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

// TestDrain checks that Drain waits for a request that is in flight when it is called.
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{events: events(1, 1), silent: true})
		defer s.stop()
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		go func() { _, _ = s.serve(ctx, "stream") }()
		synctest.Wait()
		assert.Assert(t, s.Ready())
		begun := time.Now()
		s.Drain()
		assert.Assert(t, !s.Ready() && s.IsClosing())
		took := time.Since(begun)
		assert.Assert(t, took >= 4*time.Second && took < 4500*time.Millisecond, "%v", took)
	})
}

// TestLateRequestIsRefused keeps sending requests to a draining gateway, as callers do
// while too few other gateways are ready. Late requests must be refused before they run,
// so that none is broken off when the gateway stops.
func TestLateRequestIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := step{events: events(1, 1), silent: true}
		s := startGateway(t, newStore(t), long, long, long, long, long, long, long, long, long, long)
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

// TestDrainingGatewayTakesNothingThatOutlastsIt keeps sending requests of several lengths to
// gateways that drain within several grace periods. When Drain returns, no request may be in
// flight that came after its start: its target would have run it for nothing, and its caller
// could not know that. Short requests are taken while callers have not noticed yet.
func TestDrainingGatewayTakesNothingThatOutlastsIt(t *testing.T) {
	for _, grace := range []time.Duration{1200 * time.Millisecond, 2 * time.Second, 3 * time.Second, 5 * time.Second, 8 * time.Second} {
		for _, length := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprint("grace ", grace, ", length ", length), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var steps []step
					for range 100 {
						steps = append(steps, step{delay: length, events: events(1, 1)})
					}
					s := startGateway(t, newStore(t), steps...)
					s.Reload(&fleet.Node{Name: "gateway-1", GracePeriod: grace})
					begun := time.Now()
					var inFlight, taken atomic.Int32
					ctx, cancel := context.WithCancel(t.Context())
					go func() {
						for ctx.Err() == nil {
							time.Sleep(100 * time.Millisecond)
							go func() {
								inFlight.Add(1)
								defer inFlight.Add(-1)
								r := &fleet.Request{ID: "r1", Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, MaxWait: length + 200*time.Millisecond}
								if err := s.Serve(t.Context(), routes["stream"], r, &sink{}); err == nil {
									taken.Add(1)
								}
							}()
						}
					}()
					s.Drain()
					cancel()
					synctest.Wait()
					assert.Equal(t, inFlight.Load(), int32(0), "requests are cut")
					assert.Assert(t, time.Since(begun) < grace, "%v", time.Since(begun))
					assert.Assert(t, taken.Load() > 0 || length+time.Second > grace, "no request was taken")
					s.stop()
					time.Sleep(10 * time.Second)
				})
			})
		}
	}
}

// TestGivenUpRequestsGetAnAnswer stops a gateway whose targets take longer than its grace
// period. The requests in flight must end before the process does, with an error that says
// that they may have run.
func TestGivenUpRequestsGetAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), step{silent: true}, step{events: events(1, 1), silent: true})
		s.Reload(&fleet.Node{Name: "gateway-1", GracePeriod: 2 * time.Second})
		errs := make(chan error, 2)
		for range 2 {
			go func() {
				_, err := s.serve(t.Context(), "stream")
				errs <- err
			}()
		}
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		s.Drain()
		assert.Equal(t, len(errs), 2, "requests in flight when the process stops")
		for range 2 {
			assert.Assert(t, errorx.IsOfType(<-errs, fleet.ErrOutcomeUnknown))
		}
		assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
		s.stop()
	})
}

// TestAllTargetsRestarted sends requests while all targets have restarted and their old
// registrations are still in place. Each target must be tried once. Once none is left,
// the caller is told to retry after the time within which a target may register.
func TestAllTargetsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		other := step{verdict: fleet.VerdictWrongTarget, status: 421}
		s := startGateway(t, newStore(t), other, other, other, other, other, other)
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

// TestFullTargetIsLeftEarly replays a burst in which a target queues a stream. The stream
// must move to another target early enough to begin within its objective. It moves only
// once, and stays at the second target if that queues it too.
func TestFullTargetIsLeftEarly(t *testing.T) {
	queued := step{silent: true}
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), queued, step{events: events(1, 3)})
		defer s.stop()
		begun := time.Now()
		body, err := s.serve(t.Context(), "quick")
		assert.NilError(t, err)
		assert.Equal(t, body, fullStream)
		assert.Assert(t, time.Since(begun) <= routes["quick"].LatencyObjective/2, "%v", time.Since(begun))
	})
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t), queued, queued, step{events: events(1, 3)})
		defer s.stop()
		_, err := s.serve(t.Context(), "quick")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrTimedOut), "%v", err)
		assert.Equal(t, len(s.sender.sent), 2)
	})
}

// TestStreamStaysAtTheOnlyTarget sends a stream to a full target while no other target is
// registered. The stream must wait there for a slot, or move to another target once one
// has registered.
func TestStreamStaysAtTheOnlyTarget(t *testing.T) {
	start := func(t *testing.T, steps ...step) *fixture {
		s := startGateway(t, newStore(t), steps...)
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
		assert.Equal(t, body, fullStream)
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
		assert.Equal(t, body, fullStream)
		assert.Equal(t, s.sender.sent[1].Target.ID, "t7")
	})
}

// TestHugeAnswerFails checks that a request fails if its answer is too large to be
// buffered, rather than relaying a part of the answer as the whole.
func TestHugeAnswerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		huge := step{}
		for range 5 << 10 {
			huge.events = append(huge.events, strings.Repeat("x", 1000))
		}
		s := startGateway(t, newStore(t), huge)
		defer s.stop()
		body, err := s.serve(t.Context(), "unsafe")
		assert.Assert(t, errorx.IsOfType(err, fleet.ErrOutcomeUnknown), "%v", err)
		assert.Equal(t, len(body), 0)
	})
}

// TestTargetThatAnnouncesItsLeaveGetsNoMore lets targets say in an answer, and in a refusal,
// that they leave, while the store is away and their registrations stay. Neither may get a
// request again; an answer of another request's target says nothing about this one.
func TestTargetThatAnnouncesItsLeaveGetsNoMore(t *testing.T) {
	for name, test := range map[string]struct {
		answer step
		leaves bool
	}{
		"answer":         {step{events: events(1, 3), leaving: true}, true},
		"refusal":        {step{verdict: fleet.VerdictNotRun, status: 503, leaving: true}, true},
		"foreign answer": {step{verdict: fleet.VerdictForeign, leaving: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startGateway(t, newStore(t))
				defer s.stop()
				s.store.SetFaults(fleetstore.Faults{Down: true})
				s.sender.steps = []step{test.answer, sound}
				_, _ = s.serve(t.Context(), "safe") // the outcome is that of the second target
				first := s.sender.sent[0].Target.ID
				sent := len(s.sender.sent)
				again := false
				for range 200 {
					s.sender.steps = []step{sound}
					_, err := s.serve(t.Context(), "safe")
					assert.NilError(t, err)
					time.Sleep(20 * time.Millisecond)
				}
				for _, a := range s.sender.sent[sent:] {
					again = again || a.Target.ID == first
				}
				assert.Equal(t, again, !test.leaves)
			})
		})
	}
}
