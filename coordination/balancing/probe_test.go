package balancing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// countAtFullTargets simulates a step in load: streams arrive at random at many
// gateways until the slots of the targets are nearly full. It returns how many of
// them were sent to a full target, if each gateway probes up to probes targets.
func countAtFullTargets(probes int) int {
	const gateways, count, slots, streams = 29, 42, 7, 250
	rng := rand.New(rand.NewPCG(1, 1))
	list := targets(count)
	online := map[string]int{}
	var balancers []*balancing.Balancer
	for range gateways {
		now := time.Unix(1000, 0)
		balancers = append(balancers, balancing.New(func() time.Time { return now }, rng.Float64))
	}
	full := 0
	for range streams {
		balancer := balancers[rng.IntN(gateways)]
		candidates := balancer.Candidates(list, nil, probes)
		var answers []fleet.PeerLoad
		for _, c := range candidates {
			answers = append(answers, fleet.PeerLoad{Target: c.ID, Online: online[c.ID]})
		}
		choice, found := balancer.BeginProbed(candidates, answers)
		if !found {
			choice, _ = balancer.Begin(list, nil)
		}
		if online[choice.Target.ID] >= slots {
			full++
		}
		online[choice.Target.ID]++
	}
	return full
}

// TestStepAtManyGateways simulates a step in load at gateways that do not see what
// the others send: probing a few targets must keep streams away from full ones.
func TestStepAtManyGateways(t *testing.T) {
	without, with := countAtFullTargets(0), countAtFullTargets(3)
	t.Logf("streams sent to full targets: %d without probes, %d with", without, with)
	assert.Assert(t, without > 0, "no stream was sent to a full target without probes")
	assert.Equal(t, with, 0)
}

func TestCandidates(t *testing.T) {
	balancer, _ := newBalancer()
	list := targets(4)
	balancer.RecordFailure(list[0])
	balancer.RecordLoad(list[1], fleet.Load{Running: 4})
	candidates := balancer.Candidates(list, map[string]bool{"t3": true}, 2)
	assert.Equal(t, len(candidates), 2)
	assert.Equal(t, candidates[0].ID, "t2")
	assert.Equal(t, candidates[1].ID, "t1")
	choice, found := balancer.BeginProbed(candidates, []fleet.PeerLoad{{Target: "t2", Online: 5}, {Target: "t1", Online: 1}, {Target: "gone"}})
	assert.Assert(t, found)
	assert.Equal(t, choice.Target.ID, "t1")
	assert.Equal(t, choice.ProbedOnline, 1)
	assert.Equal(t, len(balancer.Candidates(list[:3], nil, 3)), 2, "an ejected target among others")
	assert.Equal(t, len(balancer.Candidates(list[:1], nil, 3)), 1, "an ejected target alone")
	_, found = balancer.BeginProbed(candidates, nil)
	assert.Assert(t, !found)
	_, found = balancer.BeginProbed(candidates, []fleet.PeerLoad{{Target: "another lifetime"}})
	assert.Assert(t, !found)
}
