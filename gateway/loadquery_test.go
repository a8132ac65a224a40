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

// batchers is a fake of the batchers beside targets. It answers for the targets in online
// and is unresponsive for others.
type batchers struct {
	online    map[string]int
	queries   int
	announced []string
	outcomes  []fleet.PeerOutcome
}

func (b *batchers) QueryLoads(_ context.Context, addresses []string, wait time.Duration) []fleet.PeerLoad {
	b.queries++
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

func (b *batchers) AnnounceRequest(address string) { b.announced = append(b.announced, address) }

func (b *batchers) ReportOutcome(_ string, outcome fleet.PeerOutcome, _ bool) {
	b.outcomes = append(b.outcomes, outcome)
}

// TestStreamsGoToLeastLoaded checks that a stream is sent to the least loaded of the
// targets queried, and that no loads are queried for other requests.
func TestStreamsGoToLeastLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{online: map[string]int{"t0": 5, "t1": 4, "t2": 6, "t3": 4, "t4": 7, "t5": 4}}
		s := startWithLoads(t, b, step{events: events(1, 3)}, step{status: http.StatusOK})
		defer s.stop()
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		chosen := s.sender.sent[0].Target.ID
		assert.DeepEqual(t, b.announced, []string{chosen + ":7660"})
		assert.Assert(t, b.online[chosen] < 7, "the most loaded of the targets queried was chosen")
		_, err = s.serve(t.Context(), "safe")
		assert.NilError(t, err)
		assert.Equal(t, b.queries, 1)
	})
}

// TestUnresponsiveBatchers checks that the gateway falls back to its own load table if
// no batcher answers, and queries loads again only after loadQueryBackoff.
func TestUnresponsiveBatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &batchers{}
		s := startWithLoads(t, b, step{events: events(1, 3)}, step{events: events(1, 3)}, step{events: events(1, 3)})
		defer s.stop()
		begun := time.Now()
		for range 2 {
			_, err := s.serve(t.Context(), "stream")
			assert.NilError(t, err)
		}
		assert.Equal(t, b.queries, 1)
		assert.Assert(t, time.Since(begun) <= 20*time.Millisecond, "%v", time.Since(begun))
		time.Sleep(2 * time.Second)
		_, err := s.serve(t.Context(), "stream")
		assert.NilError(t, err)
		assert.Equal(t, b.queries, 2)
		assert.Equal(t, len(b.announced), 0)
	})
}
