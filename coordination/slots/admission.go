package slots

import "time"

// Admission says how much online work may wait so that none waits longer than a
// bound. It learns how long online work holds its slot. It is not safe for
// concurrent use.
type Admission struct {
	// MaxWait is the longest wait for a slot.
	MaxWait time.Duration
	// Gain is the weight of the newest sample.
	Gain float64

	meanHold float64
	samples  int
}

// minSamples is the number of samples before the queue is bounded.
const minSamples = 8

// Observe takes the time for which online work held its slot.
func (a *Admission) Observe(held time.Duration) {
	if a.samples == 0 {
		a.meanHold = float64(held)
	}
	a.samples++
	a.meanHold += a.Gain * (float64(held) - a.meanHold)
}

// QueueLimit returns how much work may wait before slots slots: as much as they
// take in within the longest wait, and one at least. It returns most while too
// little is known.
func (a *Admission) QueueLimit(slots, most int) int {
	if a.samples < minSamples || a.meanHold <= 0 {
		return most
	}
	limit := int(float64(a.MaxWait) / a.meanHold * float64(slots))
	return min(max(limit, 1), most)
}
