package hedge

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNoWaitBeforeEnoughSamples(t *testing.T) {
	p := DefaultParams()
	timer := New(p)
	for range p.MinSamples - 1 {
		timer.Observe(50 * time.Millisecond)
	}
	_, known := timer.Delay()
	assert.Assert(t, !known)
	timer.Observe(50 * time.Millisecond)
	_, known = timer.Delay()
	assert.Assert(t, known)
}

// TestFewOrdinaryRequestsAreHedged draws ordinary times: less than one in twenty
// exceeds the wait, and a tenfold stall always does.
func TestFewOrdinaryRequestsAreHedged(t *testing.T) {
	const seed, samples = 3, 2000
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 0))
	timer := New(DefaultParams())
	ordinary := func() time.Duration {
		return time.Duration((50 + 10*rng.ExpFloat64()) * float64(time.Millisecond))
	}
	hedged := 0
	for range samples {
		d := ordinary()
		if wait, known := timer.Delay(); known && d > wait {
			hedged++
			d = wait
		}
		timer.Observe(d)
	}
	assert.Assert(t, hedged < samples/20, "%d of %d", hedged, samples)
	wait, _ := timer.Delay()
	assert.Assert(t, wait < 500*time.Millisecond)
}

func TestWaitIsBounded(t *testing.T) {
	p := DefaultParams()
	fast, slow := New(p), New(p)
	for range p.MinSamples {
		fast.Observe(time.Microsecond)
		slow.Observe(time.Minute)
	}
	wait, _ := fast.Delay()
	assert.Equal(t, wait, p.MinDelay)
	wait, _ = slow.Delay()
	assert.Equal(t, wait, p.MaxDelay)
}
