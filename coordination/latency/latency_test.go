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

// feed gives every target one sample: factor times the ordinary step.
func feed(e *Estimator, now time.Time, factors ...float64) {
	for i, f := range factors {
		e.Observe(group, name(i), time.Duration(f*float64(step)), now)
	}
}

func name(i int) string { return fmt.Sprintf("target-%d", i) }

func TestSlowTargetIsEjectedAndReturnsSlowly(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	for range 2 * p.MinSamples {
		feed(e, now, 1, 1, 1, 10)
	}
	assert.Equal(t, e.Share(name(3), now), 0.0)
	assert.Equal(t, e.Share(name(0), now), 1.0)
	half := now.Add(p.BaseEjectionTime + p.RampTime/2)
	assert.Equal(t, e.Share(name(3), half), 0.5)
	assert.Equal(t, e.Share(name(3), now.Add(p.BaseEjectionTime+p.RampTime)), 1.0)
}

// TestFlappingTargetStaysAwayLonger slows a target again after each return: each
// ejection is longer than the one before, up to the bound.
func TestFlappingTargetStaysAwayLonger(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	last := time.Duration(0)
	for range 8 {
		for e.Share(name(3), now) > 0 {
			feed(e, now, 1, 1, 1, 10)
		}
		begun := now
		for e.Share(name(3), now) == 0 {
			now = now.Add(100 * time.Millisecond)
		}
		away := now.Sub(begun)
		assert.Assert(t, away >= last && away <= p.MaxEjectionTime+200*time.Millisecond, "away %v after %v", away, last)
		last = away
	}
	assert.Assert(t, last >= p.MaxEjectionTime)
}

// TestNeverAllEjected makes targets slow one after the other: at most the bounded
// part is ejected at any time.
func TestNeverAllEjected(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	factors := []float64{1, 1, 1, 1}
	for slow := range factors {
		factors[slow] = 50
		for range 4 * p.MinSamples {
			feed(e, now, factors...)
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

// TestSlowFleetIsNotEjected slows all targets alike: nobody is slower than its
// peers.
func TestSlowFleetIsNotEjected(t *testing.T) {
	e := New(DefaultParams())
	now := time.Unix(0, 0)
	for range 50 {
		feed(e, now, 10, 10, 10, 10)
	}
	for i := range 4 {
		assert.Equal(t, e.Share(name(i), now), 1.0)
	}
}

func TestForget(t *testing.T) {
	p := DefaultParams()
	e := New(p)
	now := time.Unix(0, 0)
	for range 2 * p.MinSamples {
		feed(e, now, 1, 1, 1, 10)
	}
	e.Prune(func(target string) bool { return target != name(3) })
	assert.Equal(t, e.Share(name(3), now), 1.0)
}
