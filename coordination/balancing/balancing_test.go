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

func newBalancer() (*balancing.Balancer, *time.Time) {
	now := time.Unix(1000, 0)
	return balancing.New(func() time.Time { return now }, func() float64 { return 0 }), &now
}

// begin begins a request and returns the ID of the chosen target.
func begin(balancer *balancing.Balancer, list []*fleet.Target, tried map[string]bool) string {
	choice, _ := balancer.Begin(list, tried)
	return choice.Target.ID
}

// TestLoadStep sends many requests at once, which must spread evenly.
func TestLoadStep(t *testing.T) {
	balancer, _ := newBalancer()
	list := targets(4)
	counts := map[string]int{}
	for range 32 {
		counts[begin(balancer, list, nil)]++
	}
	assert.DeepEqual(t, counts, map[string]int{"t0": 8, "t1": 8, "t2": 8, "t3": 8})
	balancer.End(list[2])
	assert.Equal(t, begin(balancer, list, nil), "t2")
}

// TestReportedLoadDecays checks that a target's report of requests of other gateways
// counts at first and decays.
func TestReportedLoadDecays(t *testing.T) {
	balancer, now := newBalancer()
	list := targets(2)
	balancer.RecordLoad(list[0], fleet.Load{Running: 6, Waiting: 2})
	assert.Equal(t, begin(balancer, list, nil), "t1")
	assert.Equal(t, begin(balancer, list, nil), "t1")
	*now = now.Add(3 * time.Second)
	assert.Equal(t, begin(balancer, list, nil), "t0")
}

// TestFailingTarget makes a target fail while requests are in flight: it must be
// ejected for times that double, and still be used if there is no other target.
func TestFailingTarget(t *testing.T) {
	balancer, now := newBalancer()
	list := targets(2)
	for range 5 {
		balancer.RecordFailure(list[0]) // requests in flight at the same time fail together
	}
	assert.Equal(t, begin(balancer, list, nil), "t1")
	assert.Equal(t, begin(balancer, list, map[string]bool{"t1": true}), "t0")
	balancer.End(list[0])
	*now = now.Add(400 * time.Millisecond)
	assert.Equal(t, begin(balancer, list, nil), "t0", "the ejection has ended")
	balancer.End(list[0])
	balancer.RecordFailure(list[0])
	*now = now.Add(400 * time.Millisecond)
	assert.Equal(t, begin(balancer, list, nil), "t1", "the second ejection is longer")
	balancer.RecordSuccess(list[0])
	assert.Equal(t, begin(balancer, list, nil), "t0")
}

// TestBusyTarget withdraws requests from a target before it starts them: the target
// must get no new requests for a moment, although none is counted there, and return
// after the same time however often that happens.
func TestBusyTarget(t *testing.T) {
	balancer, now := newBalancer()
	list := targets(2)
	for range 5 {
		balancer.RecordWithdrawal(list[0])
		assert.Equal(t, begin(balancer, list, nil), "t1")
		balancer.End(list[1])
		*now = now.Add(310 * time.Millisecond)
		assert.Equal(t, begin(balancer, list, nil), "t0")
		balancer.End(list[0])
	}
}

func TestNoTargetLeft(t *testing.T) {
	balancer, _ := newBalancer()
	_, found := balancer.Begin(nil, nil)
	assert.Assert(t, !found)
	_, found = balancer.Begin(targets(1), map[string]bool{"t0": true})
	assert.Assert(t, !found)
}
