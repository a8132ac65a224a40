package batchlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
)

// simulation is a target of 8 slots that is polled every 25 ms, and whose items
// follow the limits at once.
type simulation struct {
	limiter       batchlimit.Limiter
	now           time.Time
	items         int
	interruptions int
}

// poll updates the limits with the number of online requests at the target.
func (s *simulation) poll(online int) {
	s.now = s.now.Add(25 * time.Millisecond)
	running := min(8, online+s.items)
	limits := s.limiter.Update(s.now, batchlimit.Load{Slots: 8, Running: running, Waiting: online + s.items - running, Items: s.items})
	s.interruptions += max(0, s.items-limits.MaxRunning)
	s.items = max(min(s.items, limits.MaxRunning), limits.MaxAfterStarts)
}

// TestTrafficSteps replays online traffic in steps: items fill the slots while it is
// low, release them at once when it rises, and return after it has fallen.
func TestTrafficSteps(t *testing.T) {
	s := &simulation{limiter: batchlimit.Limiter{SettleTime: 100 * time.Millisecond}, now: time.Unix(1000, 0)}
	s.poll(1)
	assert.Equal(t, s.items, 7)
	s.poll(4)
	assert.Equal(t, s.items, 4)
	s.poll(9)
	assert.Equal(t, s.items, 0, "no item runs while online work waits")
	for range 3 {
		s.poll(2)
		assert.Equal(t, s.items, 0, "the slots have not been free for long enough")
	}
	s.poll(2)
	s.poll(2)
	assert.Equal(t, s.items, 6)
}

// TestFluctuatingTraffic replays online traffic that changes by one request at every
// poll: items must not be interrupted again and again.
func TestFluctuatingTraffic(t *testing.T) {
	s := &simulation{limiter: batchlimit.Limiter{SettleTime: 100 * time.Millisecond}, now: time.Unix(1000, 0)}
	for i := range 40 {
		s.poll(3 + i%2)
	}
	assert.Equal(t, s.items, 4)
	assert.Equal(t, s.interruptions, 1)
}

// TestLimitsFitSlots checks for random loads that the items and the online work fit
// the slots together, or that no item runs.
func TestLimitsFitSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := batchlimit.Limiter{SettleTime: 100 * time.Millisecond}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "polls") {
			now = now.Add(25 * time.Millisecond)
			l := batchlimit.Load{
				Slots: rapid.IntRange(0, 16).Draw(t, "slots"), Running: rapid.IntRange(0, 16).Draw(t, "running"),
				Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Items: rapid.IntRange(0, 16).Draw(t, "items"),
			}
			limits := limiter.Update(now, l)
			if limits.MaxAfterStarts > limits.MaxRunning || limits.MaxAfterStarts < 0 || limits.MaxRunning > 0 && limits.MaxRunning+l.Online() > l.Slots {
				t.Fatalf("%+v: %+v", l, limits)
			}
		}
	})
}
