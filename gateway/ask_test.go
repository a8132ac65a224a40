package gateway_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// batchers play the batchers beside targets: they tell the loads, or are silent.
type batchers struct {
	online map[string]int
	asks   int
	noted  []string
}

func (b *batchers) Ask(_ context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	b.asks++
	var loads []fleet.PeerLoad
	for target, online := range b.online {
		if slices.Contains(addresses, target+":7660") {
			loads = append(loads, fleet.PeerLoad{Target: target, Online: online})
		}
	}
	if len(loads) < len(addresses) {
		time.Sleep(wait)
	}
	return loads
}

func (b *batchers) Note(address string) { b.noted = append(b.noted, address) }

// TestStreamsAskTargets sends a stream to the target that tells the least load, and
// other requests without asking.
func TestStreamsAskTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{online: map[string]int{"t0": 5, "t1": 4, "t2": 6, "t3": 4, "t4": 7, "t5": 4}}
		s := startAsking(t, b, step{events: events(1, 3)}, step{status: http.StatusOK})
		defer s.stop()
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		chosen := s.sender.sent[0].Target.ID
		assert.DeepEqual(t, b.noted, []string{chosen + ":7660"})
		assert.Assert(t, b.online[chosen] < 7, "the busiest of three was chosen")
		_, err = s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, b.asks, 1)
	})
}

// TestSilentBatchers goes on by what the gateway knows itself where nobody answers,
// and asks again only after a while.
func TestSilentBatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{}
		s := startAsking(t, b, step{events: events(1, 3)}, step{events: events(1, 3)}, step{events: events(1, 3)})
		defer s.stop()
		begun := time.Now()
		for range 2 {
			_, err := s.serve(t.Context(), "stream")
			assert.NilError(t, err)
		}
		assert.Equal(t, b.asks, 1)
		assert.Assert(t, time.Since(begun) <= 20*time.Millisecond, "%v", time.Since(begun))
		time.Sleep(2 * time.Second)
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		assert.Equal(t, b.asks, 2)
		assert.Equal(t, len(b.noted), 0)
	})
}
