package routing

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

const testSlots = 8

func testTarget(i int, labels protocol.Labels) *Target {
	return &Target{
		Name: fmt.Sprintf("target-%d", i), Instance: fmt.Sprintf("sidecar-%d", i), Reachable: true, InFlight: &atomic.Int64{},
		Report: protocol.TargetReport{Target: fmt.Sprintf("target-%d", i), Labels: labels, Slots: testSlots, Healthy: true},
	}
}

func testTargets(n int) []*Target {
	var targets []*Target
	for i := range n {
		targets = append(targets, testTarget(i, protocol.Labels{"role": "drafting"}))
	}
	return targets
}

func seeded(t *testing.T) Random {
	const seed = 11
	t.Logf("seed %d", seed)
	return rand.New(rand.NewPCG(seed, 0))
}

func TestPickLeavesOutUnfitTargets(t *testing.T) {
	drafting := protocol.Labels{"role": "drafting"}
	tests := map[string]struct {
		spoil func(*Target)
		state string
	}{
		"unreachable":         {func(t *Target) { t.Reachable = false }, StateUnreachable},
		"leaving by the list": {func(t *Target) { t.Leaving = true }, StateLeaving},
		"leaving by report":   {func(t *Target) { t.Report.Leaving = true }, StateLeaving},
		"unhealthy":           {func(t *Target) { t.Report.Healthy = false }, StateUnhealthy},
		"drained":             {func(t *Target) { t.Report.Labels = protocol.Labels{"role": "drafting", "unit": "x"} }, StateDrained},
		"of another role":     {func(t *Target) { t.Report.Labels = protocol.Labels{"role": "booking"} }, StateReady},
	}
	fold := state.NewConfigFold()
	fold.Apply(protocol.PositionAt(1, 0), &protocol.Record{ID: "d", Change: &protocol.Change{Objects: []protocol.Object{
		{Kind: protocol.KindDrain, Name: "x", Drain: &protocol.Drain{Selector: protocol.Selector{"unit": "x"}}},
	}}})
	config := fold.Current()
	policy := &Policy{Chooser: RandomChoices{Count: 2, Random: seeded(t)}}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			good, bad := testTarget(0, drafting), testTarget(1, drafting)
			test.spoil(bad)
			assert.Equal(t, bad.State(config), test.state)
			table := &Table{Targets: []*Target{bad, good}}
			for range 20 {
				got, err := table.Pick(Query{Selector: protocol.Selector{"role": "drafting"}}, config, policy)
				assert.NilError(t, err)
				assert.Equal(t, got, good)
			}
			_, err := table.Pick(Query{Selector: protocol.Selector{"role": "drafting"}, Tried: map[string]bool{good.Name: true}}, config, policy)
			assert.Assert(t, errorx.IsOfType(err, protocol.ErrNoTarget), "%v", err)
		})
	}
}

// TestHerdOnAFreshTarget adds an idle target to busy ones: two choices send it
// more than its share, and not everything.
func TestHerdOnAFreshTarget(t *testing.T) {
	targets := testTargets(10)
	for _, target := range targets[1:] {
		target.InFlight.Store(testSlots / 2)
	}
	choose := RandomChoices{Count: 2, Random: seeded(t)}
	for range 1000 {
		choose.Choose(targets, 0).InFlight.Add(1)
	}
	mean := float64(1000+9*testSlots/2) / 10
	got := float64(targets[0].InFlight.Load())
	assert.Assert(t, got < 1.5*mean, "the fresh target got %v, the mean is %v", got, mean)
}

// TestThinning sends an ejected target nothing and a returning one its share, and
// does not eject everybody.
func TestThinning(t *testing.T) {
	targets := testTargets(3)
	shares := map[string]float64{targets[0].Name: 0, targets[1].Name: 0.25, targets[2].Name: 1}
	p := &Policy{Random: seeded(t), Share: func(name string) float64 { return shares[name] }}
	kept := map[string]int{}
	for range 1000 {
		for _, target := range p.filterByShare(targets) {
			kept[target.Name]++
		}
	}
	assert.Equal(t, kept[targets[0].Name], 0)
	assert.Assert(t, kept[targets[1].Name] > 200 && kept[targets[1].Name] < 300, "%d", kept[targets[1].Name])
	assert.Equal(t, kept[targets[2].Name], 1000)
	none := &Policy{Random: seeded(t), Share: func(string) float64 { return 0 }}
	assert.Equal(t, len(none.filterByShare(targets)), len(targets))
}

// TestAffinityKeepsKeysTogether sends every key to one target while loads are
// low, spreads keys over the targets, and moves a key on when its target is full.
func TestAffinityKeepsKeysTogether(t *testing.T) {
	targets := testTargets(8)
	choose := BoundedAffinity{LoadFactor: 1.25, MinBound: 0.5, Fallback: RandomChoices{Count: 2, Random: seeded(t)}}
	owners := map[string]int{}
	for key := range uint64(1000) {
		first := choose.Choose(targets, AffinityKey("w", "s", fmt.Sprint(key)))
		again := choose.Choose(targets, AffinityKey("w", "s", fmt.Sprint(key)))
		assert.Equal(t, first, again)
		owners[first.Name]++
	}
	for name, n := range owners {
		assert.Assert(t, n > 60 && n < 200, "%s owns %d of 1000 keys", name, n)
	}
	key := AffinityKey("w", "s", "hot")
	owner := choose.Choose(targets, key)
	owner.InFlight.Store(testSlots)
	assert.Assert(t, choose.Choose(targets, key) != owner)
}

func TestOwnerMovesOnlyTheKeysOfTheOneThatLeft(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	moved := 0
	for i := range 1000 {
		key := fmt.Sprint(i)
		before, after := Owner(key, members), Owner(key, members[:3])
		if before != after {
			assert.Equal(t, before, "d")
			moved++
		}
	}
	assert.Assert(t, moved > 180 && moved < 320, "%d keys moved", moved)
	assert.Equal(t, Owner("k", nil), "")
}
