package balancing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

const gateways, count, slots, streams = 29, 42, 7, 250

// countAtFullTargets simulates a step in load: streams arrive at random at many
// gateways until the slots of the targets are nearly full. Each gateway has connections
// to a few targets at first, and to those that it has sent to. It returns how many
// streams were sent to a full target, if each gateway probes up to probes targets, and
// how many needed a new connection.
func countAtFullTargets(probes, connections int) (full, dials int) {
	rng := rand.New(rand.NewPCG(1, 1))
	list := targets(count)
	online := map[string]int{}
	var balancers []*balancing.Balancer
	connected := make([]map[string]bool, gateways)
	for i := range gateways {
		connected[i] = map[string]bool{}
		for _, k := range rng.Perm(count)[:connections] {
			connected[i][list[k].ID] = true
		}
		now := time.Unix(1000, 0)
		balancers = append(balancers, balancing.New(func() time.Time { return now }, rng.Float64))
	}
	for range streams {
		gateway := rng.IntN(gateways)
		balancer := balancers[gateway]
		candidates := balancer.Candidates(list, nil, probes, func(target *fleet.Target) bool { return connected[gateway][target.ID] })
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
		if !connected[gateway][choice.Target.ID] {
			connected[gateway][choice.Target.ID] = true
			dials++
		}
	}
	return full, dials
}

// TestStepAtManyGateways simulates a step in load at gateways that do not see what
// the others send: probing a few targets must keep streams away from full ones.
func TestStepAtManyGateways(t *testing.T) {
	without, _ := countAtFullTargets(0, 0)
	with, _ := countAtFullTargets(3, 0)
	connected, dials := countAtFullTargets(3, 8)
	t.Logf("streams sent to full targets: %d without probes, %d with, %d with a preference for open connections", without, with, connected)
	assert.Assert(t, without > 0, "no stream was sent to a full target without probes")
	assert.Equal(t, with, 0)
	assert.Equal(t, connected, 0)
	assert.Assert(t, dials < streams/2, "%d of %d streams needed a new connection", dials, streams)
}

func noConnection(*fleet.Target) bool { return false }

func TestCandidates(t *testing.T) {
	balancer, _ := newBalancer()
	list := targets(4)
	balancer.RecordFailure(list[0])
	balancer.RecordLoad(list[1], fleet.Load{Running: 4})
	candidates := balancer.Candidates(list, map[string]bool{"t3": true}, 2, noConnection)
	assert.Equal(t, len(candidates), 2)
	assert.Equal(t, candidates[0].ID, "t2")
	assert.Equal(t, candidates[1].ID, "t1")
	withLast := balancer.Candidates(list, nil, 2, func(target *fleet.Target) bool { return target.ID == "t1" })
	assert.Equal(t, withLast[0].ID, "t1", "a connection is open")
	choice, found := balancer.BeginProbed(candidates, []fleet.PeerLoad{{Target: "t2", Online: 5}, {Target: "t1", Online: 1}, {Target: "gone"}})
	assert.Assert(t, found)
	assert.Equal(t, choice.Target.ID, "t1")
	assert.Equal(t, choice.ProbedOnline, 1)
	assert.Equal(t, len(balancer.Candidates(list[:3], nil, 3, noConnection)), 2, "an ejected target among others")
	assert.Equal(t, len(balancer.Candidates(list[:1], nil, 3, noConnection)), 1, "an ejected target alone")
	_, found = balancer.BeginProbed(candidates, nil)
	assert.Assert(t, !found)
	_, found = balancer.BeginProbed(candidates, []fleet.PeerLoad{{Target: "another lifetime"}})
	assert.Assert(t, !found)
}
