package spare_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/sycamoretally/sycamoretally/coordination/spare"
)

var params = spare.Params{Reserve: 1, MaxStarts: 2}

// TestSteps replays online traffic in steps at a target of 8 slots: items fill the
// valley up to the reserve, give way in the step, and come back after it.
func TestSteps(t *testing.T) {
	items := 0
	look := func(online int) {
		running := min(8, online+items)
		plan := spare.Decide(params, spare.Load{Slots: 8, Running: running, Waiting: online + items - running, Items: items})
		items += plan.Start - plan.Stop
	}
	for range 5 {
		look(1)
	}
	assert.Equal(t, items, 6)
	look(4)
	assert.Equal(t, items, 3)
	look(9)
	assert.Equal(t, items, 0, "nothing runs beside online work that waits")
	look(9)
	assert.Equal(t, items, 0)
	for range 5 {
		look(2)
	}
	assert.Equal(t, items, 5)
}

// TestNeverBeyondTheSlots checks for any load that a decision neither fills the
// reserve nor stops more than there is.
func TestNeverBeyondTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := spare.Load{
			Slots: rapid.IntRange(0, 16).Draw(t, "slots"), Running: rapid.IntRange(0, 16).Draw(t, "running"),
			Waiting: rapid.IntRange(0, 9).Draw(t, "waiting"), Items: rapid.IntRange(0, 16).Draw(t, "items"),
		}
		plan := spare.Decide(params, l)
		if plan.Start > 0 && l.Running+l.Waiting+plan.Start > l.Slots-params.Reserve && l.Running+l.Waiting >= l.Items {
			t.Fatalf("%+v: %+v", l, plan)
		}
		if plan.Stop > l.Items || plan.Start > 0 && plan.Stop > 0 {
			t.Fatalf("%+v: %+v", l, plan)
		}
	})
}
