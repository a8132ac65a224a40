package urgency_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/urgency"
)

const (
	due      = 18 * time.Second
	workTime = 5 * time.Second
)

// task is an item of the simulated load.
type task struct {
	arrived, done time.Duration
	left          time.Duration
}

// simulate runs items that arrive at the given interval in the given number of slots,
// in steps of 100 ms, and returns how many of them are finished by the time they are
// due.
func simulate(slots int, interval time.Duration, order func(a, b urgency.Item) int) (inTime, all int) {
	const step, length = 100 * time.Millisecond, 60 * time.Second
	var tasks []*task
	for now := time.Duration(0); now < length+2*due; now += step {
		if now < length && now%interval == 0 {
			tasks = append(tasks, &task{arrived: now, left: workTime})
		}
		for _, t := range runningTasks(tasks, now, slots, order) {
			if t.left -= step; t.left <= 0 {
				t.done = now
			}
		}
	}
	for _, t := range tasks {
		if t.done > 0 && t.done-t.arrived <= due {
			inTime++
		}
	}
	return inTime, len(tasks)
}

// runningTasks returns the tasks that run now.
func runningTasks(tasks []*task, now time.Duration, slots int, order func(a, b urgency.Item) int) []*task {
	var open []*task
	for _, t := range tasks {
		if t.done == 0 {
			open = append(open, t)
		}
	}
	view := func(t *task) urgency.Item {
		return urgency.Item{Age: now - t.arrived, Due: due, Remaining: t.left, Started: t.left < workTime, JobOffset: int64(t.arrived)}
	}
	slices.SortStableFunc(open, func(a, b *task) int { return order(view(a), view(b)) })
	return open[:min(slots, len(open))]
}

// TestOverload simulates 1.5 times as many items as the slots can do: nearly as many
// as they can do are finished in time, and far fewer in the order of arrival.
func TestOverload(t *testing.T) {
	arrival := func(a, b urgency.Item) int { return int(a.JobOffset - b.JobOffset) }
	byArrival, all := simulate(4, 800*time.Millisecond, arrival)
	byUrgency, _ := simulate(4, 800*time.Millisecond, urgency.Compare)
	t.Logf("%d items, in time by arrival %d, by urgency %d", all, byArrival, byUrgency)
	assert.Assert(t, byUrgency >= 45)
	assert.Assert(t, byArrival < byUrgency*3/4)
}

// TestEnoughSlots checks that every item is finished in time if there are enough
// slots.
func TestEnoughSlots(t *testing.T) {
	inTime, all := simulate(4, 1300*time.Millisecond, urgency.Compare)
	assert.Equal(t, inTime, all)
}

func TestDurationEstimator(t *testing.T) {
	var e urgency.DurationEstimator
	assert.Equal(t, e.Remaining(1000, 0), time.Duration(0))
	e.Observe(0, 0, time.Second)
	assert.Equal(t, e.Remaining(1000, 0), time.Duration(0))
	e.Observe(1000, 200, 10*time.Second)
	assert.Equal(t, e.Remaining(1000, 0), 10*time.Second)
	assert.Equal(t, e.Remaining(1000, 150), 2500*time.Millisecond)
	assert.Equal(t, e.Remaining(500, 0), 5*time.Second)
	for range 50 {
		e.Observe(1000, 200, 4*time.Second)
	}
	assert.Assert(t, e.Remaining(1000, 0) < 4100*time.Millisecond)
}
