package balancing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// countAtFullTargets replays a step of traffic: streams come to many gateways by turns of chance
// until the targets' slots are nearly full. It returns how many found a full target.
func countAtFullTargets(asked int) int {
	const gateways, count, slots, streams = 29, 42, 7, 250
	rng := rand.New(rand.NewPCG(1, 1))
	list := targets(count)
	online := map[string]int{}
	var tables []*balancing.Balancer
	for range gateways {
		now := time.Unix(1000, 0)
		tables = append(tables, balancing.New(func() time.Time { return now }, rng.Float64))
	}
	full := 0
	for range streams {
		table := tables[rng.IntN(gateways)]
		candidates := table.Candidates(list, nil, asked)
		var answers []fleet.PeerLoad
		for _, c := range candidates {
			answers = append(answers, fleet.PeerLoad{Target: c.ID, Online: online[c.ID]})
		}
		choice, found := table.BeginProbed(candidates, answers)
		if !found {
			choice, _ = table.Begin(list, nil)
		}
		if online[choice.Target.ID] >= slots {
			full++
		}
		online[choice.Target.ID]++
	}
	return full
}

// TestStepAtManyGateways replays a step at gateways that do not see what the others
// send: asking a few targets keeps streams away from full ones.
func TestStepAtManyGateways(t *testing.T) {
	without, with := countAtFullTargets(0), countAtFullTargets(3)
	t.Logf("full targets met: %d without asking, %d with", without, with)
	assert.Assert(t, without > 0, "the replay shows nothing")
	assert.Equal(t, with, 0)
}

func TestCandidates(t *testing.T) {
	table, _ := newTable()
	list := targets(4)
	table.RecordFailure(list[0])
	table.RecordLoad(list[1], fleet.Load{Running: 4})
	candidates := table.Candidates(list, map[string]bool{"t3": true}, 2)
	assert.Equal(t, len(candidates), 2)
	assert.Equal(t, candidates[0].ID, "t2")
	assert.Equal(t, candidates[1].ID, "t1")
	choice, found := table.BeginProbed(candidates, []fleet.PeerLoad{{Target: "t2", Online: 5}, {Target: "t1", Online: 1}, {Target: "gone"}})
	assert.Assert(t, found)
	assert.Equal(t, choice.Target.ID, "t1")
	assert.Equal(t, choice.ProbedOnline, 1)
	assert.Equal(t, len(table.Candidates(list[:3], nil, 3)), 2, "a suspect among others")
	assert.Equal(t, len(table.Candidates(list[:1], nil, 3)), 1, "a suspect alone")
	_, found = table.BeginProbed(candidates, nil)
	assert.Assert(t, !found)
	_, found = table.BeginProbed(candidates, []fleet.PeerLoad{{Target: "another lifetime"}})
	assert.Assert(t, !found)
}
