package balancing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// TestEndedTargetsCostNoRequest starts a gateway when power has returned: half of the
// registered targets are incarnations from before, at addresses where later ones run that
// have not registered yet. Batchers that are asked tell so. No request may be sent to an
// ended target, and of those that are asked none may be asked again at once.
func TestEndedTargetsCostNoRequest(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	now := time.Unix(1000, 0)
	balancer := balancing.New(func() time.Time { return now }, rng.Float64)
	list := targets(40)
	running := map[string]string{}
	for i, target := range list {
		running[target.ID] = target.ID
		if i%2 == 0 {
			running[target.ID] = "later " + target.ID
		}
	}
	asked := map[string]int{}
	for range 200 {
		now = now.Add(time.Millisecond)
		candidates := balancer.Candidates(list, nil, 3, noConnection)
		var addresses []string
		var answers []fleet.PeerLoad
		for _, c := range candidates {
			addresses = append(addresses, "at "+c.ID)
			answers = append(answers, fleet.PeerLoad{Target: running[c.ID], Address: "at " + c.ID})
		}
		for _, target := range balancer.EjectReplaced(candidates, addresses, answers) {
			asked[target.ID]++
		}
		choice, found := balancer.BeginProbed(candidates, answers)
		if !found {
			continue // all that were asked have ended
		}
		assert.Equal(t, running[choice.Target.ID], choice.Target.ID)
	}
	assert.Assert(t, len(asked) > 10, "%d ended targets were found out", len(asked))
	for id, times := range asked {
		assert.Equal(t, times, 1, id)
	}
	now = now.Add(time.Minute)
	left := balancer.Candidates(list, nil, len(list)+1, noConnection)
	assert.Equal(t, len(left), len(list), "a target that its batcher did not know yet comes back")
}

// TestAnswerWithoutAddressEjectsNothing gets an answer that does not tell which target was
// asked: it may be that of another candidate.
func TestAnswerWithoutAddressEjectsNothing(t *testing.T) {
	balancer, _ := newBalancer()
	list := targets(2)
	replaced := balancer.EjectReplaced(list, []string{"a", "b"}, []fleet.PeerLoad{{Target: "t9"}, {Target: "t0", Address: "a"}})
	assert.Equal(t, len(replaced), 0)
}
