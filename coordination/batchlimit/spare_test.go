package batchlimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/coordination/batchlimit"
)

// site replays online traffic at a target of 8 slots whose items follow the
// decisions at once, with a look every 25 ms.
type site struct {
	meter  batchlimit.Limiter
	now    time.Time
	items  int
	breaks int
}

func (s *site) look(online int) {
	s.now = s.now.Add(25 * time.Millisecond)
	running := min(8, online+s.items)
	room := s.meter.Update(s.now, batchlimit.Load{Slots: 8, Running: running, Waiting: online + s.items - running, Items: s.items})
	s.breaks += max(0, s.items-room.MaxRunning)
	s.items = max(min(s.items, room.MaxRunning), room.MaxAfterStarts)
}

// TestSteps replays traffic in steps: items fill the valley, give way in the step
// at once, and come back after it.
func TestSteps(t *testing.T) {
	s := &site{meter: batchlimit.Limiter{SettleTime: 100 * time.Millisecond}, now: time.Unix(1000, 0)}
	s.look(1)
	assert.Equal(t, s.items, 7)
	s.look(4)
	assert.Equal(t, s.items, 4)
	s.look(9)
	assert.Equal(t, s.items, 0, "nothing runs beside online work that waits")
	for range 3 {
		s.look(2)
		assert.Equal(t, s.items, 0, "the slots are not spare for long enough")
	}
	s.look(2)
	s.look(2)
	assert.Equal(t, s.items, 6)
}

// TestFlutter replays online requests that come and go by one from look to look:
// no run is broken off again and again.
func TestFlutter(t *testing.T) {
	s := &site{meter: batchlimit.Limiter{SettleTime: 100 * time.Millisecond}, now: time.Unix(1000, 0)}
	for i := range 40 {
		s.look(3 + i%2)
	}
	assert.Equal(t, s.items, 4)
	assert.Equal(t, s.breaks, 1)
}

// TestNeverBeyondTheSlots checks for any loads that items and online work fit the
// slots together, or no item runs.
func TestNeverBeyondTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meter := batchlimit.Limiter{SettleTime: 100 * time.Millisecond}
		now := time.Unix(1000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "looks") {
			now = now.Add(25 * time.Millisecond)
			l := batchlimit.Load{
				Slots: rapid.IntRange(0, 16).Draw(t, "slots"), Running: rapid.IntRange(0, 16).Draw(t, "running"),
				Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Items: rapid.IntRange(0, 16).Draw(t, "items"),
			}
			room := meter.Update(now, l)
			if room.MaxAfterStarts > room.MaxRunning || room.MaxAfterStarts < 0 || room.MaxRunning > 0 && room.MaxRunning+l.Online() > l.Slots {
				t.Fatalf("%+v: %+v", l, room)
			}
		}
	})
}
