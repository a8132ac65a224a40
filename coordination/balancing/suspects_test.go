package balancing_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFlappingTargetReturnsByOneRequest plays a target that goes down and up by turns: once
// its ejection is over it must get one request at a time until it has served one, though the
// others have many.
func TestFlappingTargetReturnsByOneRequest(t *testing.T) {
	balancer, now := newBalancer()
	list := targets(4)
	for range 30 {
		begin(balancer, list[1:], nil)
	}
	balancer.RecordSuccess(list[1])
	balancer.RecordFailure(list[0])
	*now = now.Add(400 * time.Millisecond)
	got := 0
	for range 12 {
		if begin(balancer, list, nil) == "t0" {
			got++
		}
	}
	assert.Equal(t, got, 1, "requests at a target that has not served one since it failed")
	balancer.End(list[0])
	balancer.RecordSuccess(list[0])
	for range 5 {
		assert.Equal(t, begin(balancer, list, nil), "t0")
	}
}

// TestObserverAtFaultKeepsItsTargets lets a gateway that is cut off fail at three of four
// targets within a moment: it must not send all that comes to the fourth. Where one target
// goes on serving, the others have failed, and must be spared.
func TestObserverAtFaultKeepsItsTargets(t *testing.T) {
	balancer, now := newBalancer()
	list := targets(4)
	balancer.RecordSuccess(list[3])
	fail := func() {
		for _, target := range list[:3] {
			balancer.RecordFailure(target)
		}
	}
	*now = now.Add(900 * time.Millisecond)
	fail()
	assert.Equal(t, begin(balancer, list, nil), "t3", "a target has served a request within the last second")
	assert.Equal(t, begin(balancer, list, nil), "t3")
	*now = now.Add(200 * time.Millisecond)
	got := map[string]bool{}
	for range 3 {
		got[begin(balancer, list, nil)] = true
	}
	assert.Assert(t, !got["t3"], "all requests went to the one target that has not failed yet")
	balancer.RecordSuccess(list[3])
	fail()
	assert.Equal(t, begin(balancer, list, nil), "t3")
}
