package protocol

import (
	"bytes"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// FuzzDecodeBatch feeds arbitrary entries to the decoder: it must fail with an
// error or give records that encode and decode to the same bytes.
func FuzzDecodeBatch(f *testing.F) {
	seeds := [][]Record{
		{},
		{{ID: "a", Void: &RequestVoid{Key: "k", Attempt: "1"}}, {ID: "b", Start: &RequestStart{Key: "k"}}},
		{{ID: "c", Complete: &RequestComplete{Key: "k", Result: Result{Outcome: OutcomeCompleted, Body: []byte("x")}}}},
		{{ID: "d", Change: &Change{By: "op", Objects: []Object{{Kind: KindDrain, Name: "n", Drain: &Drain{}}}}}},
		{{ID: "e", Snapshot: &SnapshotChunk{Snapshot: "s", Next: 7, Chunks: 1, Data: []byte("y")}}},
		{{ID: "g", Carry: &Carry{Original: 9, Record: &Record{ID: "h", Items: &ItemResults{Job: "j", Items: []ItemResult{{Index: 1}}}}}}},
	}
	for _, records := range seeds {
		data, err := EncodeBatch(records)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeBatch(data)
		if err != nil {
			return
		}
		first, err := EncodeBatch(records)
		assert.NilError(t, err)
		again, err := DecodeBatch(first)
		assert.NilError(t, err)
		second, err := EncodeBatch(again)
		assert.NilError(t, err)
		if len(records) == 0 || !hasMaps(records) {
			assert.Assert(t, bytes.Equal(first, second))
		}
		for i := range records {
			_ = records[i].BodySize()
		}
	})
}

// hasMaps reports whether records hold maps, whose encoding has no fixed order.
func hasMaps(records []Record) bool {
	for _, r := range records {
		if r.Change != nil || r.Announce != nil || r.Carry != nil {
			return true
		}
	}
	return false
}

func TestDecodeSnapshot(t *testing.T) {
	want := &Snapshot{Next: 5, Parts: []SnapshotPart{{Name: "config", Data: []byte("x")}}}
	data, err := want.Encode()
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data, Fingerprint(data))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = DecodeSnapshot(data[:len(data)-1], Fingerprint(data))
	assert.ErrorContains(t, err, "another hash")
	_, err = DecodeSnapshot([]byte("x"), Fingerprint([]byte("x")))
	assert.ErrorContains(t, err, "snapshot")
}

func TestConflictTravels(t *testing.T) {
	want := VersionConflict{Kind: KindLabel, Name: "n", Base: PositionAt(1, 0), Current: PositionAt(2, 0)}
	p := ProblemOf(NewVersionConflict(want))
	assert.Equal(t, p.Outcome, OutcomeNotRun)
	assert.DeepEqual(t, ConflictOf(p.Err()), &want)
}

// TestMalformedLengths feeds encodings that declare more than they hold: they
// must be refused without the memory that they declare.
func TestMalformedLengths(t *testing.T) {
	cases := map[string][]byte{
		"array": {0xdd, 0xc4, 0x92, 0xdd, 0xc4},
		"map":   {0x91, 0xdf, 0xff, 0xff, 0xff, 0xff},
		"bytes": {0x91, 0x81, 0xa1, 'i', 0xdb, 0xff, 0xff, 0xff, 0xff},
		"depth": bytes.Repeat([]byte{0x91}, 1<<20),
		"cut":   {0x92, 0x80},
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeBatch(data)
			assert.Assert(t, errorx.IsOfType(err, ErrBadRequest), "%v", err)
		})
	}
}
