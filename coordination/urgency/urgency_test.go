package urgency_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/coordination/urgency"
)

const (
	due  = 18 * time.Second
	work = 5 * time.Second
)

// task is an item of the replayed load.
type task struct {
	arrived, done time.Duration
	left          time.Duration
}

// replay serves items that arrive every interval with the slots, in steps of a
// tenth of a second, and returns how many are done by the time they are due.
func replay(slots int, interval time.Duration, order func(a, b urgency.Item) int) (inTime, all int) {
	const step, length = 100 * time.Millisecond, 60 * time.Second
	var tasks []*task
	for now := time.Duration(0); now < length+2*due; now += step {
		if now < length && now%interval == 0 {
			tasks = append(tasks, &task{arrived: now, left: work})
		}
		for _, t := range first(tasks, now, slots, order) {
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

// first returns the tasks that run now.
func first(tasks []*task, now time.Duration, slots int, order func(a, b urgency.Item) int) []*task {
	var open []*task
	for _, t := range tasks {
		if t.done == 0 {
			open = append(open, t)
		}
	}
	view := func(t *task) urgency.Item {
		return urgency.Item{Age: now - t.arrived, Due: due, Remaining: t.left, Started: t.left < work, JobOffset: int64(t.arrived)}
	}
	slices.SortStableFunc(open, func(a, b *task) int { return order(view(a), view(b)) })
	return open[:min(slots, len(open))]
}

// TestOverload replays half as many items again as the slots can do: nearly all
// that the slots can do are done in time, where the order of arrival does a few.
func TestOverload(t *testing.T) {
	arrival := func(a, b urgency.Item) int { return int(a.JobOffset - b.JobOffset) }
	byArrival, all := replay(4, 800*time.Millisecond, arrival)
	byUrgency, _ := replay(4, 800*time.Millisecond, urgency.Compare)
	t.Logf("%d items, in time by arrival %d, by urgency %d", all, byArrival, byUrgency)
	assert.Assert(t, byUrgency >= 45)
	assert.Assert(t, byArrival < byUrgency*3/4)
}

// TestEnoughSlots loses nothing where all items can be done.
func TestEnoughSlots(t *testing.T) {
	inTime, all := replay(4, 1300*time.Millisecond, urgency.Compare)
	assert.Equal(t, inTime, all)
}

func TestPace(t *testing.T) {
	var p urgency.DurationEstimator
	assert.Equal(t, p.Remaining(1000, 0), time.Duration(0))
	p.Observe(0, 0, time.Second)
	assert.Equal(t, p.Remaining(1000, 0), time.Duration(0))
	p.Observe(1000, 200, 10*time.Second)
	assert.Equal(t, p.Remaining(1000, 0), 10*time.Second)
	assert.Equal(t, p.Remaining(1000, 150), 2500*time.Millisecond)
	assert.Equal(t, p.Remaining(500, 0), 5*time.Second)
	for range 50 {
		p.Observe(1000, 200, 4*time.Second)
	}
	assert.Assert(t, p.Remaining(1000, 0) < 4100*time.Millisecond)
}
