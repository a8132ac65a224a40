package balancing_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/balancing"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

func targets(n int) []*fleet.Target {
	var list []*fleet.Target
	for i := range n {
		list = append(list, &fleet.Target{ID: fmt.Sprint("t", i)})
	}
	return list
}

func newTable() (*balancing.Balancer, *time.Time) {
	now := time.Unix(1000, 0)
	return balancing.New(func() time.Time { return now }, func() float64 { return 0 }), &now
}

// begin returns the name of the target that is chosen.
func begin(table *balancing.Balancer, list []*fleet.Target, tried map[string]bool) string {
	choice, _ := table.Begin(list, tried)
	return choice.Target.ID
}

// TestStepOfTraffic replays a step: many requests at once spread evenly.
func TestStepOfTraffic(t *testing.T) {
	table, _ := newTable()
	list := targets(4)
	counts := map[string]int{}
	for range 32 {
		counts[begin(table, list, nil)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"t0": 8, "t1": 8, "t2": 8, "t3": 8})
	table.End(list[2])
	assert.Equal(t, begin(table, list, nil), "t2")
}

// TestOthersLoad counts what a target reports of other gateways, for a moment.
func TestOthersLoad(t *testing.T) {
	table, now := newTable()
	list := targets(2)
	table.RecordLoad(list[0], fleet.Load{Running: 6, Waiting: 2})
	assert.Equal(t, begin(table, list, nil), "t1")
	assert.Equal(t, begin(table, list, nil), "t1")
	*now = now.Add(3 * time.Second)
	assert.Equal(t, begin(table, list, nil), "t0")
}

// TestFailingTarget replays a target that goes dark under traffic: requests leave
// it out for times that double, and use it where there is no other.
func TestFailingTarget(t *testing.T) {
	table, now := newTable()
	list := targets(2)
	for range 5 {
		table.RecordFailure(list[0]) // requests sent at the same time fail together
	}
	assert.Equal(t, begin(table, list, nil), "t1")
	assert.Equal(t, begin(table, list, map[string]bool{"t1": true}), "t0")
	table.End(list[0])
	*now = now.Add(400 * time.Millisecond)
	assert.Equal(t, begin(table, list, nil), "t0", "it is tried again")
	table.End(list[0])
	table.RecordFailure(list[0])
	*now = now.Add(400 * time.Millisecond)
	assert.Equal(t, begin(table, list, nil), "t1", "the second time is longer")
	table.RecordSuccess(list[0])
	assert.Equal(t, begin(table, list, nil), "t0")
}

// TestBusyTarget replays requests that leave a target before it begins them: it
// draws no new ones for a moment, though none is counted there, and comes back
// after the same time however often that happens.
func TestBusyTarget(t *testing.T) {
	table, now := newTable()
	list := targets(2)
	for range 5 {
		table.RecordWithdrawal(list[0])
		assert.Equal(t, begin(table, list, nil), "t1")
		table.End(list[1])
		*now = now.Add(310 * time.Millisecond)
		assert.Equal(t, begin(table, list, nil), "t0")
		table.End(list[0])
	}
}

func TestNoTargetLeft(t *testing.T) {
	table, _ := newTable()
	_, found := table.Begin(nil, nil)
	assert.Assert(t, !found)
	_, found = table.Begin(targets(1), map[string]bool{"t0": true})
	assert.Assert(t, !found)
}
