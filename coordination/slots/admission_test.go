package slots

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQueueLimitFollowsTheHoldTime(t *testing.T) {
	const slots, most = 8, 64
	tests := map[string]struct {
		held  time.Duration
		limit int
	}{
		"short": {100 * time.Millisecond, 40},
		"long":  {4 * time.Second, 1},
		"tiny":  {time.Millisecond, most},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := Admission{MaxWait: 500 * time.Millisecond, Gain: 0.1}
			assert.Equal(t, a.QueueLimit(slots, most), most)
			for range 50 {
				a.Observe(test.held)
			}
			assert.Equal(t, a.QueueLimit(slots, most), test.limit)
		})
	}
}

// TestOverloadKeepsGoodput models twice the capacity for ten seconds of virtual
// time: what is admitted starts within the longest wait, and the slots never
// idle.
func TestOverloadKeepsGoodput(t *testing.T) {
	const slotCount, hold, step = 4, 200 * time.Millisecond, time.Millisecond
	a := Admission{MaxWait: 500 * time.Millisecond, Gain: 0.1}
	s := New(Params{Slots: slotCount, Queue: 1000})
	arrived, ends := map[string]time.Duration{}, map[string]time.Duration{}
	start := func(id string, now time.Duration) {
		ends[id] = now + hold
		assert.Assert(t, a.samples < minSamples || now-arrived[id] <= a.MaxWait+hold, "%s waited %v", id, now-arrived[id])
	}
	done, n := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += step {
		for id, end := range ends {
			if end != now {
				continue
			}
			delete(ends, id)
			done++
			a.Observe(hold)
			s.SetQueueLimit(a.QueueLimit(slotCount, 1000))
			for _, next := range s.Release(id).Start {
				start(next, now)
			}
		}
		if now%(hold/slotCount/2) == 0 {
			id := time.Duration(n).String()
			n++
			arrived[id] = now
			if d, _ := s.ArriveOnline(id); d == Run {
				start(id, now)
			}
		}
	}
	capacity := float64(slotCount) * float64(10*time.Second/hold)
	assert.Assert(t, float64(done) >= 0.95*capacity, "%d done of %v", done, capacity)
}
