package latency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	step  = 20 * time.Millisecond
	group = "drafting"
)

// observe adds one sample for each target, its factor times the ordinary step.
func observe(e *Estimator, now time.Time, factors ...float64) {
	for i, f := range factors {
		e.Observe(group, name(i), time.Duration(f*float64(step)), now)
	}
}

func name(i int) string { return fmt.Sprintf("target-%d", i) }

func TestSlowTargetIsEjectedAndRampsUp(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	for range 2 * p.MinSamples {
		observe(e, now, 1, 1, 1, 10)
	}
	assert.Equal(t, e.Share(name(3), now), 0.0)
	assert.Equal(t, e.Share(name(0), now), 1.0)
	half := now.Add(p.BaseEjectionTime + p.RampTime/2)
	assert.Equal(t, e.Share(name(3), half), 0.5)
	assert.Equal(t, e.Share(name(3), now.Add(p.BaseEjectionTime+p.RampTime)), 1.0)
}

// TestRepeatedEjectionsGrowLonger slows a target again after each ejection: each one
// must be at least as long as the one before, up to the maximum.
func TestRepeatedEjectionsGrowLonger(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	last := time.Duration(0)
	for range 8 {
		for e.Share(name(3), now) > 0 {
			observe(e, now, 1, 1, 1, 10)
		}
		start := now
		for e.Share(name(3), now) == 0 {
			now = now.Add(100 * time.Millisecond)
		}
		length := now.Sub(start)
		assert.Assert(t, length >= last && length <= p.MaxEjectionTime+200*time.Millisecond, "ejected for %v after %v", length, last)
		last = length
	}
	assert.Assert(t, last >= p.MaxEjectionTime)
}

// TestNeverAllEjected makes targets slow one after the other: no more than
// MaxEjectedShare of them may be ejected at any time.
func TestNeverAllEjected(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	factors := []float64{1, 1, 1, 1}
	for slow := range factors {
		factors[slow] = 50
		for range 4 * p.MinSamples {
			observe(e, now, factors...)
		}
		ejected := 0
		for i := range factors {
			if e.Share(name(i), now) == 0 {
				ejected++
			}
		}
		assert.Assert(t, float64(ejected) <= p.MaxEjectedShare*float64(len(factors)))
	}
}

// TestSlowFleetIsNotEjected slows all targets equally, so that none is slower than
// its peers.
func TestSlowFleetIsNotEjected(t *testing.T) {
	e := New(DefaultParams())
	now := time.Unix(0, 0)
	for range 50 {
		observe(e, now, 10, 10, 10, 10)
	}
	for i := range 4 {
		assert.Equal(t, e.Share(name(i), now), 1.0)
	}
}

func TestPrune(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	for range 2 * p.MinSamples {
		observe(e, now, 1, 1, 1, 10)
	}
	e.Prune(func(target string) bool { return target != name(3) })
	assert.Equal(t, e.Share(name(3), now), 1.0)
}
