package slots

import "time"

// Admission limits the queue of online work so that no work waits longer than a
// bound, based on how long online work holds its slot. It is not safe for
// concurrent use.
type Admission struct {
	// MaxWait is the longest time that work may wait for a slot.
	MaxWait time.Duration
	// Gain is the weight of the newest sample in the moving average.
	Gain float64

	meanHold float64
	samples  int
}

// minSamples is the number of samples required before the queue is limited.
const minSamples = 8

// Observe adds a sample of the time for which online work held its slot.
func (a *Admission) Observe(held time.Duration) {
	if a.samples == 0 {
		a.meanHold = float64(held)
	}
	a.samples++
	a.meanHold += a.Gain * (float64(held) - a.meanHold)
}

// QueueLimit returns how much work may wait for the given number of slots: as much as
// can start within MaxWait, at least one and at most maxLimit. It returns maxLimit
// while there are too few samples.
func (a *Admission) QueueLimit(slots, maxLimit int) int {
	if a.samples < minSamples || a.meanHold <= 0 {
		return maxLimit
	}
	limit := int(float64(a.MaxWait) / a.meanHold * float64(slots))
	return min(max(limit, 1), maxLimit)
}
