package gateway_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// repeat returns the step n times.
func repeat(n int, s step) []step {
	var list []step
	for range n {
		list = append(list, s)
	}
	return list
}

// inVain are steps of a target that does not go on with a stream after its first event, or begin one.
var inVain = map[string]step{
	"full":                   {verdict: fleet.VerdictNotRun, status: 503},
	"another incarnation":    {verdict: fleet.VerdictWrongTarget, status: 421},
	"not reached":            {err: fleet.ErrNotDelivered.New("refused")},
	"silent as well":         {silent: true},
	"no head":                {headDelay: time.Hour},
	"breaks off":             {broken: true},
	"fails":                  {status: 500},
	"unsigned":               {unsigned: true, events: events(2, 3)},
	"another stream":         {contentType: "text/html", events: events(2, 3)},
	"begins somewhere else":  {events: events(3, 3)},
	"answer of another call": {verdict: fleet.VerdictForeign},
	"has no answer":          {err: fleet.ErrAnswerBroken.New("closed")},
}

// TestSilentStreamIsNotEndedForPlacesThatDoNotTakeIt guards against a stream that is taken from its busy target
// though no other goes on with it, and is cut then (review/12): before the first event or after it, and
// while the gateway stops.
func TestSilentStreamIsNotEndedForPlacesThatDoNotTakeIt(t *testing.T) {
	for name, other := range inVain {
		for _, stops := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stops %v", name, stops), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := startGateway(t, newStore(t), append([]step{{events: events(1, 3), gap: 3 * time.Second}}, repeat(20, other)...)...)
					defer s.stop()
					var drained sync.WaitGroup
					defer drained.Wait()
					if stops {
						drained.Go(func() {
							time.Sleep(100 * time.Millisecond)
							s.Drain()
						})
					}
					body, err := s.serve(t.Context(), "resumable")
					assert.NilError(t, err)
					assert.Equal(t, body, fullStream)
					assert.Assert(t, len(s.sender.sent) > 1, "no other target was tried")
				})
			})
		}
	}
}

// TestQueuedStreamIsNotEndedForPlacesThatDoNotTakeIt is the same before the first event: the caller would get
// an error though its request has a place in a queue.
func TestQueuedStreamIsNotEndedForPlacesThatDoNotTakeIt(t *testing.T) {
	for name, other := range inVain {
		for _, first := range []step{{events: events(1, 3), delay: 3 * time.Second}, {events: events(1, 3), headDelay: 3 * time.Second}} {
			t.Run(fmt.Sprintf("%s, head after %v", name, first.headDelay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					if len(other.events) > 0 && !other.unsigned {
						return // an answer that begins the stream
					}
					s := startGateway(t, newStore(t), append([]step{first}, repeat(20, other)...)...)
					defer s.stop()
					body, err := s.serve(t.Context(), "quick")
					assert.NilError(t, err)
					assert.Equal(t, body, fullStream)
					assert.Assert(t, len(s.sender.sent) > 1, "no other target was tried")
				})
			})
		}
	}
}

// TestSilentStreamMovesOnceATargetHasRoom guards against a stream that stays at a target that never goes
// on, since the first other targets that were asked had no room.
func TestSilentStreamMovesOnceATargetHasRoom(t *testing.T) {
	for _, received := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			steps := append([]step{{events: events(1, received), silent: true}}, repeat(5, inVain["full"])...)
			s := startGateway(t, newStore(t), append(steps, step{events: events(received+1, 3)})...)
			defer s.stop()
			body, err := s.serve(t.Context(), "resumable")
			assert.NilError(t, err)
			assert.Equal(t, body, fullStream)
			assert.Equal(t, len(s.sender.sent), 7)
		})
	}
}

// TestEndlessCommentsOfATrialAreBounded guards against a process that keeps all that a target sends in place of
// an event, until it has no memory left. The stream stays where it is.
func TestEndlessCommentsOfATrialAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endless := step{endless: ":" + strings.Repeat(" ", 4000) + "\n\n", pause: time.Millisecond}
		s := startGateway(t, newStore(t), step{events: events(1, 3), gap: 3 * time.Second}, endless)
		defer s.stop()
		body, err := s.serve(t.Context(), "resumable")
		assert.NilError(t, err)
		assert.Equal(t, body, fullStream)
		sent, trial := s.sender.read()
		assert.Equal(t, sent, 2)
		assert.Assert(t, trial < 100, "%d reads of the trial", trial)
	})
}

// TestFirstToSendKeepsTheStream guards against events of two runs that are joined or sent twice, where
// both targets go on at about the same time, and against a stream that is lost since the first
// target breaks off while another has it in its queue.
func TestFirstToSendKeepsTheStream(t *testing.T) {
	const timeout = 1200 * time.Millisecond
	for name, c := range map[string]struct{ first, second step }{
		"the first goes on":                   {step{events: events(1, 3), gap: timeout + 50*time.Millisecond}, step{headDelay: 100 * time.Millisecond, events: events(2, 3)}},
		"the second is sooner":                {step{events: events(1, 3), gap: timeout + 50*time.Millisecond}, step{headDelay: 10 * time.Millisecond, events: events(2, 3)}},
		"both at the same time":               {step{events: events(1, 3), gap: timeout + 50*time.Millisecond}, step{headDelay: 50 * time.Millisecond, events: events(2, 3)}},
		"the first breaks off":                {step{events: events(1, 1), gap: timeout + 50*time.Millisecond, broken: true}, step{headDelay: time.Second, events: events(2, 3)}},
		"only the end is missing":             {step{events: events(1, 3), silent: true}, step{}},
		"the second sends its events with it": {step{events: events(1, 1), silent: true}, step{events: []string{text(events(2, 3)...)}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := startGateway(t, newStore(t), c.first, c.second)
				defer s.stop()
				body, err := s.serve(t.Context(), "resumable")
				assert.NilError(t, err)
				assert.Equal(t, body, fullStream)
				assert.Equal(t, len(s.sender.sent), 2)
			})
		})
	}
}

// TestStreamRunsAtNoMoreTargetsThanItsAttempts counts the targets that may have run a stream whose targets all
// fall silent: each trial counts, also one that was dropped.
func TestStreamRunsAtNoMoreTargetsThanItsAttempts(t *testing.T) {
	for name, other := range inVain {
		synctest.Test(t, func(t *testing.T) {
			s := startGateway(t, newStore(t), append([]step{{events: events(1, 1), silent: true}}, repeat(50, other)...)...)
			defer s.stop()
			_, err := s.serve(t.Context(), "resumable")
			assert.Assert(t, err != nil)
			mayRun := other.err == nil && other.verdict != fleet.VerdictNotRun && other.verdict != fleet.VerdictWrongTarget || name == "has no answer"
			if mayRun {
				assert.Equal(t, len(s.sender.sent), routes["resumable"].MaxAttempts, name)
			}
			assert.Assert(t, len(s.sender.sent) <= 20, "%s: %d attempts", name, len(s.sender.sent))
		})
	}
}

// TestHandoversKeepEveryEventOnce plays streams at targets that pause, refuse and break off at random: a caller gets the
// events in their order, and all of them if its stream ends well.
func TestHandoversKeepEveryEventOnce(t *testing.T) {
	const seed, runs = 7, 300
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	millis := func(n int) time.Duration { return time.Duration(random.IntN(n)) * time.Millisecond }
	for range runs {
		first := step{events: events(1, 1+random.IntN(3)), gap: millis(3000), headDelay: millis(400)}
		first.broken = len(first.events) < 3
		steps := []step{first}
		for range random.IntN(4) {
			steps = append(steps, inVain["full"])
		}
		steps = append(steps, step{events: events(2, 3), headDelay: millis(2000), gap: millis(2000), broken: random.IntN(4) == 0})
		synctest.Test(t, func(t *testing.T) {
			s := startGateway(t, newStore(t), steps...)
			defer s.stop()
			body, err := s.serve(t.Context(), "resumable")
			assert.Assert(t, strings.HasPrefix(fullStream, body), "%q", body)
			if err == nil {
				assert.Equal(t, body, fullStream)
			}
		})
	}
}

// fullBatchers is a fake of the batchers beside the six targets, which all have learned that their
// target takes as many requests as it has.
type fullBatchers struct{ loadedBatchers }

// QueryLoads implements gateway.LoadQuerier.
func (b *fullBatchers) QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	loads := b.loadedBatchers.QueryLoads(ctx, addresses, wait)
	for i := range loads {
		loads[i].Capacity = loads[i].Online
	}
	return loads
}

// TestQueuedStreamSparesFullTargets guards against streams that stand in two queues each while all targets
// are full, so that the queues turn others away. A stream that has waited for long, at a target that
// may be cut off, tries a full target all the same.
func TestQueuedStreamSparesFullTargets(t *testing.T) {
	for delay, sent := range map[time.Duration]int{time.Second: 1, 3 * time.Second: 2} {
		synctest.Test(t, func(t *testing.T) {
			loads := &fullBatchers{}
			loads.set(8)
			s := startWithLoads(t, loads, step{events: events(1, 3), delay: delay}, step{headDelay: time.Hour})
			defer s.stop()
			body, err := s.serve(t.Context(), "quick")
			assert.NilError(t, err)
			assert.Equal(t, body, fullStream)
			assert.Equal(t, len(s.sender.sent), sent)
		})
	}
}

// unevenBatchers is a fake of the batchers beside the six targets, of which the first one that is sent a
// request has as many requests as are set, and the others have none.
type unevenBatchers struct {
	loadedBatchers
	sender *sender
}

// QueryLoads implements gateway.LoadQuerier.
func (b *unevenBatchers) QueryLoads(ctx context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	loads := b.loadedBatchers.QueryLoads(ctx, addresses, wait)
	first := b.sender.firstTarget()
	for i := range loads {
		if loads[i].Target != first {
			loads[i].Online = 0
		}
	}
	return loads
}

// TestSlowTargetKeepsWhatItHasBegun guards against a stream that two targets work on: one that is slow, but has a
// slot for it, and doesn't drop requests whose connection closes, and the one that gets it for the
// lack of a first event (review/13). A stream in a queue moves; so does one at a target whose batcher is
// silent, and one that has waited for long.
func TestSlowTargetKeepsWhatItHasBegun(t *testing.T) {
	for name, c := range map[string]struct {
		online int
		delay  time.Duration
		sent   int
	}{
		"slow":       {3, 200 * time.Millisecond, 1},
		"very slow":  {8, time.Second, 1},
		"queued":     {9, time.Second, 2},
		"no answer":  {-1, time.Second, 2},
		"for longer": {3, 2 * time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &sender{steps: []step{{events: events(1, 3), delay: c.delay}, {events: events(1, 3)}}}
				loads := &unevenBatchers{sender: out}
				loads.set(c.online)
				s := startLoadedBy(t, newStore(t), loads, out)
				defer s.stop()
				body, err := s.serve(t.Context(), "quick")
				assert.NilError(t, err)
				assert.Equal(t, body, fullStream)
				assert.Equal(t, len(s.sender.sent), c.sent)
			})
		})
	}
}
