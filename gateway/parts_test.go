package gateway_test

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// servePrompt sends a request with a body of its own and the given parts in its prompt,
// whose target does as the step says.
func (s *fixture) servePrompt(answer step, parts ...string) error {
	s.sender.steps = []step{answer}
	body := rand.Text()
	r := &fleet.Request{ID: body, Method: http.MethodPost, Host: "h", URI: "/x", Header: http.Header{}, Body: []byte(body), MaxWait: 5 * time.Second, PromptParts: parts}
	return s.Serve(s.t.Context(), routes["stream"], r, &sink{})
}

// crashPrompt crashes a target with such a request. Another target is registered in its
// place.
func (s *fixture) crashPrompt(parts ...string) {
	s.t.Helper()
	assert.Assert(s.t, errorx.IsOfType(s.servePrompt(crashing, parts...), fleet.ErrOutcomeUnknown))
	crashed := s.sender.sent[len(s.sender.sent)-1].Target
	s.ended.Store(crashed.Address, true)
	s.removeTarget(crashed.ID)
	s.addTarget(fmt.Sprint("next", len(s.sender.sent)))
	time.Sleep(600 * time.Millisecond)
}

var sound = step{events: events(1, 3)}

// TestPartOfPromptsThatCrashesTargetsIsStopped sends requests that are all different but for
// one part of their prompts, which crashes each target, and sound requests with their other
// parts. Requests with the part are rejected soon after the fifth crash, by a gateway that
// started later as well, and the sound ones are served all the time.
func TestPartOfPromptsThatCrashesTargetsIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		s := startGateway(t, store)
		defer s.stop()
		for range 5 {
			s.crashPrompt("first", "second", "x")
			assert.NilError(t, s.servePrompt(sound, "first", "second"))
		}
		later := startGateway(t, store)
		defer later.stop()
		for range 20 {
			assert.NilError(t, s.servePrompt(sound, "first", "second"))
			assert.NilError(t, later.servePrompt(sound, "first", "second"))
			time.Sleep(stableWindow / 20)
		}
		for _, g := range []*fixture{s, later} {
			sent := len(g.sender.sent)
			err := g.servePrompt(crashing, "other", "x")
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
			assert.Equal(t, len(g.sender.sent), sent)
			assert.NilError(t, g.servePrompt(sound, "first", "second", "y"))
		}
	})
}

// TestQuarantineOfPartReachesIdleGateways lets one gateway complete requests while a part to
// which crashes point is observed, and another one none. Both must reject requests with the
// part: the idle gateway can't observe anything itself.
func TestQuarantineOfPartReachesIdleGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore(t)
		busy, idle := startGateway(t, store), startGateway(t, store)
		defer busy.stop()
		defer idle.stop()
		for range 5 {
			busy.crashPrompt("first", "x")
		}
		for range 8 {
			assert.NilError(t, busy.servePrompt(sound, "first"))
			time.Sleep(stableWindow / 10)
		}
		for _, s := range []*fixture{busy, idle} {
			err := s.servePrompt(crashing, "first", "x")
			assert.Assert(t, errorx.IsOfType(err, fleet.ErrQuarantined), "%v", err)
		}
	})
}

// TestClearedPartIsNotQuarantinedLate lets one gateway end the observation of a part while
// another one completes a request with it, at different moments. Both gateways must serve
// requests with the part soon after. If the first one records the quarantine before it has
// read that the part was cleared, the quarantine is the newer record.
func TestClearedPartIsNotQuarantinedLate(t *testing.T) {
	for delay := time.Duration(0); delay < 1500*time.Millisecond; delay += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			store := newStore(t)
			a, b := startTwo(t, store)
			for range 5 {
				a.crashPrompt("popular")
			}
			for range 3 {
				assert.NilError(t, a.servePrompt(sound, "other"))
			}
			time.Sleep(delay)
			if err := b.servePrompt(sound, "popular"); err != nil {
				return // quarantined before
			}
			time.Sleep(stableWindow)
			assert.NilError(t, a.servePrompt(sound, "popular"), "cleared after %v", delay)
			assert.NilError(t, b.servePrompt(sound, "popular"), "cleared after %v", delay)
		})
	}
}

// TestPopularPartSurvivesLossOfTargets loses targets again and again under different
// requests that share a popular part, while no request with a prompt can be completed, but
// others at another service. Requests with the part must be served as soon as targets are
// back.
func TestPopularPartSurvivesLossOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startGateway(t, newStore(t))
		defer s.stop()
		for i := range 12 {
			s.crashPrompt("popular", fmt.Sprint("part ", i))
		}
		for range 10 {
			assert.NilError(t, s.servePrompt(sound))
			time.Sleep(time.Second)
		}
		assert.NilError(t, s.servePrompt(sound, "popular"))
		for range 10 {
			assert.NilError(t, s.servePrompt(sound, "rare"))
			time.Sleep(stableWindow / 10)
		}
		assert.NilError(t, s.servePrompt(sound, "popular"), "the part was cleared")
	})
}
