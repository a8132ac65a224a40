package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// levels is the number of ranges into which the loads of a target are divided.
	levels = 8
	// paceWindow is the age of the oldest sample of the pace. At least minPaceSamples are
	// used, so that one slow request is no evidence.
	paceWindow     = time.Second
	minPaceSamples = 3
	// maxSamples bounds the samples that are kept.
	maxSamples = 32
	// slowdownWeight is the weight of the newest sample in the slowdown of a level, well below
	// that in the pace: a change of the target is no change of what load does to it.
	slowdownWeight = 0.1
	// maxSlowdown bounds the slowdown by load that a sample may show.
	maxSlowdown = 20
)

// levelOf returns the level of a load, from 0 to levels-1.
func levelOf(running, slots int) int {
	return min(max(0, (running*levels-1)/slots), levels-1)
}

// curve is how long something takes at a target against the number of requests that run.
type curve struct {
	// pace is the current time at a load without slowdown in nanoseconds, 0 if unknown.
	pace float64
	// slowdown holds the factor of each level, 0 for a level that was never seen.
	slowdown [levels]float64
	samples  []sample
}

// sample is a time in nanoseconds that was taken at a level.
type sample struct {
	at    time.Time
	level int
	took  float64
}

// observe adds a sample and updates the pace and the slowdown of its level.
func (c *curve) observe(at time.Time, level int, took time.Duration) {
	s := sample{at, level, float64(took)}
	c.learnSlowdown(s)
	c.samples = append(c.samples, s)
	for len(c.samples) > maxSamples || len(c.samples) > minPaceSamples && at.Sub(c.samples[0].at) > paceWindow {
		c.samples = c.samples[1:]
	}
	c.updatePace()
}

// learnSlowdown moves the slowdown of the sample's level towards what the sample shows beside
// those of lower levels in the same second. Without such samples it shows nothing: the
// target's pace may have changed. A level that was never seen begins with the slowdown
// expected there.
func (c *curve) learnSlowdown(s sample) {
	var lower []float64
	for _, other := range c.samples {
		if other.level < s.level && s.at.Sub(other.at) <= paceWindow {
			lower = append(lower, other.took/c.slowdownAt(other.level))
		}
	}
	if len(lower) < minPaceSamples {
		return
	}
	shown := min(max(1, s.took/median(lower)), maxSlowdown)
	before := c.slowdownAt(s.level)
	c.slowdown[s.level] = before * math.Pow(shown/before, slowdownWeight)
}

// median returns the median of the list, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[len(list)/2]
}

// slowdownAt returns the highest slowdown seen at the level or below, 1 if none was seen.
func (c *curve) slowdownAt(level int) float64 {
	return max(1, slices.Max(c.slowdown[:level+1]))
}

// updatePace sets the pace to the median of the samples, each divided by the slowdown of
// its level.
func (c *curve) updatePace() {
	if len(c.samples) < minPaceSamples {
		return
	}
	paces := make([]float64, 0, maxSamples)
	for _, s := range c.samples {
		paces = append(paces, s.took/c.slowdownAt(s.level))
	}
	c.pace = median(paces)
}

// expect returns the expected time at the level, 0 if it is not known.
func (c *curve) expect(level int) time.Duration {
	return time.Duration(c.pace * c.slowdownAt(level))
}
