package retention

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/state"
)

var (
	params = Params{Retention: 80 * time.Minute, KeepResults: 3 * time.Hour}
	noon   = time.UnixMilli(0).Add(12 * time.Hour)
)

// marksAt returns marks of the given ages, oldest first, at the offsets 10, 20, ...
func marksAt(ages ...time.Duration) []state.Mark {
	var marks []state.Mark
	for i, age := range ages {
		marks = append(marks, state.Mark{Next: uint64(10 * (i + 1)), UnixMillis: noon.Add(-age).UnixMilli()})
	}
	return marks
}

func TestSnapshotDue(t *testing.T) {
	cases := []struct {
		name    string
		params  Params
		marks   []state.Mark
		next    uint64
		changed bool
		due     bool
	}{
		{"empty stream", params, nil, 1, true, false},
		{"first", params, nil, 2, true, true},
		{"log without retention", Params{}, nil, 2, true, false},
		{"young", params, marksAt(9 * time.Minute), 50, true, false},
		{"changed since", params, marksAt(time.Hour, 10*time.Minute), 50, true, true},
		{"nothing changed", params, marksAt(19 * time.Minute), 50, false, false},
		{"about to expire", params, marksAt(20 * time.Minute), 50, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.params.SnapshotDue(noon, c.marks, c.next, c.changed), c.due)
		})
	}
}

func TestCarryBefore(t *testing.T) {
	cases := []struct {
		name  string
		marks []state.Mark
		want  uint64
	}{
		{"no marks", nil, 0},
		{"young marks", marksAt(39*time.Minute, 20*time.Minute), 0},
		{"entries between an old and a young mark", marksAt(41*time.Minute, 20*time.Minute), 20},
		{"two old marks", marksAt(60*time.Minute, 41*time.Minute, 20*time.Minute), 30},
		{"only old marks", marksAt(60*time.Minute, 41*time.Minute), 20},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { assert.Equal(t, params.CarryBefore(noon, c.marks), c.want) })
	}
}

func TestForgetBefore(t *testing.T) {
	assert.Equal(t, params.ForgetBefore(noon, marksAt(4*time.Hour, 181*time.Minute, time.Hour)), uint64(20))
	assert.Equal(t, params.ForgetBefore(noon, marksAt(time.Hour)), uint64(0))
	assert.Equal(t, Params{}.ForgetBefore(noon, marksAt(time.Hour*99)), uint64(0))
}

func TestCarries(t *testing.T) {
	at := func(offset uint64) protocol.Position { return protocol.PositionAt(offset, 0) }
	moved := map[protocol.Position]protocol.Position{at(1): at(30), at(2): at(9)}
	locate := func(p protocol.Position) protocol.Position { return max(p, moved[p]) }
	due := DueCarries([]protocol.Position{at(1), at(2), at(8), at(25)}, locate, 20)
	assert.DeepEqual(t, due, []protocol.Position{at(8), at(2)})
}
