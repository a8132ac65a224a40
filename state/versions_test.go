package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// applyDrain applies a change of one drain that is based on its current version.
func applyDrain(f *ConfigFold, offset uint64, name, unit string) {
	current, _ := f.Current().Lookup(protocol.KindDrain, name)
	o := protocol.Object{Kind: protocol.KindDrain, Name: name, Base: current.Version, Drain: &protocol.Drain{Selector: protocol.Selector{"unit": unit}}}
	change := protocol.Change{By: "op-" + unit, UnixMillis: int64(offset), Objects: []protocol.Object{o}}
	f.Apply(protocol.PositionAt(offset, 0), &protocol.Record{ID: fmt.Sprint("r", offset), Change: &change})
}

func TestHistoryKeepsTheLastVersions(t *testing.T) {
	f := NewConfigFold()
	const changes = maxObjectVersions + 5
	applyDrain(f, 1, "other", "x")
	for i := range changes {
		applyDrain(f, uint64(i+2), "d", fmt.Sprint(i))
	}
	kept := f.History(protocol.KindDrain, "d")
	assert.Equal(t, len(kept), maxObjectVersions)
	for i, v := range kept {
		unit := fmt.Sprint(changes - maxObjectVersions + i)
		assert.Equal(t, v.By, "op-"+unit)
		assert.Equal(t, v.Object.Drain.Selector["unit"], unit)
		assert.Equal(t, v.Object.Version, protocol.PositionAt(uint64(v.UnixMillis), 0))
	}
	assert.Equal(t, len(f.History(protocol.KindDrain, "other")), 1)
	assert.Equal(t, len(f.History(protocol.KindLabel, "d")), 0)
}

// TestHistoryOmitsRejectedChanges applies a change with a stale base version, and a
// record whose ID was applied before.
func TestHistoryOmitsRejectedChanges(t *testing.T) {
	f := NewConfigFold()
	applyDrain(f, 1, "d", "a")
	stale := protocol.Object{Kind: protocol.KindDrain, Name: "d", Drain: &protocol.Drain{}}
	f.Apply(protocol.PositionAt(2, 0), &protocol.Record{ID: "stale", Change: &protocol.Change{Objects: []protocol.Object{stale}}})
	again := protocol.Record{ID: "r1", Change: &protocol.Change{Objects: []protocol.Object{stale}}}
	f.Apply(protocol.PositionAt(3, 0), &again)
	assert.Equal(t, len(f.History(protocol.KindDrain, "d")), 1)
}

func TestHistoryIsBounded(t *testing.T) {
	f := NewConfigFold()
	const changes, objects = 42, 100
	for i := range changes {
		change := protocol.Change{}
		for k := range objects {
			name := fmt.Sprint(i, "-", k)
			change.Objects = append(change.Objects, protocol.Object{Kind: protocol.KindDrain, Name: name, Drain: &protocol.Drain{}})
		}
		f.Apply(protocol.PositionAt(uint64(i+1), 0), &protocol.Record{ID: fmt.Sprint("r", i), Change: &change})
	}
	assert.Equal(t, len(f.versions.all), maxVersions)
	assert.Equal(t, len(f.History(protocol.KindDrain, "0-0")), 0)
	assert.Equal(t, len(f.History(protocol.KindDrain, "41-99")), 1)
}
