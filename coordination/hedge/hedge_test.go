package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNoDelayBeforeMinSamples(t *testing.T) {
	p := DefaultParams()
	estimator := New(p)
	for range p.MinSamples - 1 {
		estimator.Observe(50 * time.Millisecond)
	}
	_, known := estimator.Delay()
	assert.Assert(t, !known)
	estimator.Observe(50 * time.Millisecond)
	_, known = estimator.Delay()
	assert.Assert(t, known)
}

// TestFewOrdinaryRequestsAreHedged draws ordinary durations and checks that fewer
// than one in twenty exceed the delay, and that a stall of ten times as long does.
func TestFewOrdinaryRequestsAreHedged(t *testing.T) {
	const seed, samples = 3, 2000
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	estimator := New(DefaultParams())
	ordinary := func() time.Duration {
		return time.Duration((50 + 10*rng.ExpFloat64()) * float64(time.Millisecond))
	}
	hedged := 0
	for range samples {
		d := ordinary()
		if delay, known := estimator.Delay(); known && d > delay {
			hedged++
			d = delay
		}
		estimator.Observe(d)
	}
	assert.Assert(t, hedged < samples/20, "%d of %d requests hedged", hedged, samples)
	delay, _ := estimator.Delay()
	assert.Assert(t, delay < 500*time.Millisecond)
}

func TestDelayIsBounded(t *testing.T) {
	p := DefaultParams()
	fast, slow := New(p), New(p)
	for range p.MinSamples {
		fast.Observe(time.Microsecond)
		slow.Observe(time.Minute)
	}
	delay, _ := fast.Delay()
	assert.Equal(t, delay, p.MinDelay)
	delay, _ = slow.Delay()
	assert.Equal(t, delay, p.MaxDelay)
}
