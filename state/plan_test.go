package state

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

func drainOf(name, unit string) protocol.Object {
	return protocol.Object{Kind: protocol.KindDrain, Name: name, Drain: &protocol.Drain{Selector: protocol.Selector{"unit": unit}}}
}

func deletionOf(name string) protocol.Object {
	return protocol.Object{Kind: protocol.KindDrain, Name: name, Deleted: true}
}

func TestPlan(t *testing.T) {
	f := NewConfigFold()
	applyDrain(f, 1, "live", "a")
	applyDrain(f, 2, "gone", "a")
	gone := deletionOf("gone")
	gone.Base = protocol.PositionAt(2, 0)
	f.Apply(protocol.PositionAt(3, 0), &protocol.Record{ID: "x", Change: &protocol.Change{Objects: []protocol.Object{gone}}})
	tests := map[string]struct {
		object  protocol.Object
		action  Action
		current protocol.Position
	}{
		"new object":           {drainOf("new", "a"), ActionCreate, 0},
		"same content":         {drainOf("live", "a"), ActionNone, protocol.PositionAt(1, 0)},
		"other content":        {drainOf("live", "b"), ActionUpdate, protocol.PositionAt(1, 0)},
		"deletion":             {deletionOf("live"), ActionDelete, protocol.PositionAt(1, 0)},
		"over a deletion":      {drainOf("gone", "a"), ActionCreate, protocol.PositionAt(3, 0)},
		"deletion of a gone":   {deletionOf("gone"), ActionNone, protocol.PositionAt(3, 0)},
		"deletion of nothing":  {deletionOf("never"), ActionNone, 0},
		"base does not matter": {protocol.Object{Kind: protocol.KindDrain, Name: "live", Base: 9, Drain: drainOf("", "a").Drain}, ActionNone, protocol.PositionAt(1, 0)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plan := f.Current().Plan(&protocol.Change{Objects: []protocol.Object{test.object}})
			assert.Equal(t, len(plan), 1)
			assert.Equal(t, plan[0].Action, test.action)
			assert.Equal(t, plan[0].Current, test.current)
		})
	}
}

// TestSelectsUnderPlannedLabels plans a label and a drain over it in one change.
func TestSelectsUnderPlannedLabels(t *testing.T) {
	f := NewConfigFold()
	label := protocol.Object{Kind: protocol.KindLabel, Name: "l", Label: &protocol.Label{Selector: protocol.Selector{"unit": "a"}, Set: protocol.Labels{"patch": "yes"}}}
	drain := protocol.Object{Kind: protocol.KindDrain, Name: "d", Drain: &protocol.Drain{Selector: protocol.Selector{"patch": "yes"}}}
	quota := protocol.Object{Kind: protocol.KindQuota, Name: "w", Quota: &protocol.Quota{}}
	before := f.Current()
	next := before.WithChange(&protocol.Change{Objects: []protocol.Object{label, drain, quota}})
	a, b := protocol.Labels{"unit": "a"}, protocol.Labels{"unit": "b"}
	assert.Assert(t, next.Selects(&label, a))
	assert.Assert(t, !next.Selects(&label, b))
	assert.Assert(t, next.Selects(&drain, a))
	assert.Assert(t, !next.Selects(&drain, b))
	assert.Assert(t, !next.Selects(&quota, a))
	assert.Assert(t, !before.Selects(&drain, a))
	assert.Equal(t, len(f.Current().Objects()), 0)
}
