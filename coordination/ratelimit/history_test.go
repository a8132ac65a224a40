package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol/fleet"
)

// traffic sends requests of each workspace to random gateways, perSecond in sum for each, from
// one time to another.
func (s *simulation) traffic(from, to time.Duration, workspaces []string, perSecond float64) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for _, w := range workspaces {
		for at := from + time.Duration(s.rng.Int64N(int64(gap))); at < to; at += gap {
			s.after(at-s.now, func() {
				if g := s.gateways[s.names[s.rng.IntN(len(s.names))]]; g.alive && !g.leaving {
					s.request(g, w)
				}
			})
		}
	}
}

func workspaceNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("workspace-", i))
	}
	return names
}

func fixedRate(r fleet.Rate) func(string, time.Duration) (fleet.Rate, int64) {
	return func(string, time.Duration) (fleet.Rate, int64) { return r, 1 }
}

// TestNothingBelowTheRateIsRefused sends each workspace's requests at nearly its rate, spread
// over gateways of unequal size, while a gateway is added and another one stops in an
// orderly way. Whoever splits a rate among gateways, or loses a bucket on its way to a new owner,
// refuses some.
func TestNothingBelowTheRateIsRefused(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, fixedRate(fleet.Rate{PerSecond: 10, Burst: 10}))
		for i := range 12 {
			s.add([]float64{0.144, 0.8}[i%2])
		}
		const begin, end = 14 * time.Second, 60 * time.Second
		s.traffic(begin, end, workspaceNames(40), 9.9)
		s.after(25*time.Second, func() { s.add(0.8) })
		s.after(40*time.Second, func() { s.gateways["gateway-1"].leave() })
		s.run(end + time.Second)
		assert.Assert(t, len(s.outcomes) > 10000)
		assert.Equal(t, s.refused(0), 0, "seed %d of %d", seed, len(s.outcomes))
	}
}

// faults plays one random fault after the other until the given time.
func (s *simulation) faults(until time.Duration) {
	pick := func() *simGateway { return s.gateways[s.names[s.rng.IntN(len(s.names))]] }
	for at := 14 * time.Second; at < until; at += time.Duration(s.rng.Int64N(int64(6 * time.Second))) {
		length := time.Duration(s.rng.Int64N(int64(14 * time.Second)))
		s.after(at-s.now, func() {
			g := pick()
			switch s.rng.IntN(9) {
			case 0:
				g.alive = false
				s.after(length/4, g.start)
			case 1:
				g.frozen = s.now + length
			case 2:
				g.noStore = true
				s.after(length, func() { g.noStore = false })
			case 3:
				s.cutPeers[g.name] = true
				s.after(length, func() { delete(s.cutPeers, g.name) })
			case 4:
				s.add(0.8)
			case 5:
				if g.alive {
					g.leave()
				}
			case 6:
				for _, name := range s.names {
					one := s.gateways[name]
					one.alive = false
					s.after(length/8, one.start)
				}
			case 7:
				s.loss, s.duplication, s.maxDelay = 0.2, 0.2, 150*time.Millisecond
				s.after(length, func() { s.loss, s.duplication, s.maxDelay = 0, 0, 2*time.Millisecond })
			case 8:
				for _, name := range s.names {
					s.gateways[name].noStore = true
				}
				s.after(length, func() {
					for _, name := range s.names {
						s.gateways[name].noStore = false
					}
				})
			}
		})
	}
}

// TestRateHoldsInEveryWindow lets one workspace send several times its rate while gateways are
// killed, frozen, cut off, added and restarted all at once, and messages are lost, doubled
// and late, so that the oldest and the newest view are alive at the same time. No window may
// hold more than the rate with its tolerance.
func TestRateHoldsInEveryWindow(t *testing.T) {
	for seed := range uint64(30) {
		rate := fleet.Rate{PerSecond: 20, Burst: 30}
		s := newSimulation(seed, fixedRate(rate))
		for range 8 {
			s.add(0.5 + s.rng.Float64())
		}
		s.traffic(5*time.Second, 90*time.Second, workspaceNames(3), 60)
		s.faults(85 * time.Second)
		s.run(92 * time.Second)
		for _, w := range workspaceNames(3) {
			admitted, bound := s.worstWindow(w, rate)
			assert.Check(t, float64(admitted) <= bound, "seed %d: %d admitted of %s in a window, %g allowed", seed, admitted, w, bound)
			assert.Check(t, admitted >= 100, "seed %d: %d admitted of %s in the best window", seed, admitted, w)
		}
	}
}
