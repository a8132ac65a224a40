package protocol

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// seedBatches are entries of the log from which the fuzzer starts.
func seedBatches(f *testing.F) [][]byte {
	records := []Record{
		{ID: "1", Accept: &RequestAccept{Key: "w/k", Entry: "e", Call: Call{Service: "s", Method: "POST", Body: []byte("b")}}},
		{ID: "2", Start: &RequestStart{Key: "w/k", Attempt: "a", Holder: "h", Fingerprint: "f"}},
		{ID: "3", Void: &RequestVoid{Key: "w/k", Attempt: "a"}},
		{ID: "4", Release: &RequestRelease{Key: "w/k", Attempt: "a", Holder: "h"}},
		{ID: "5", Complete: &RequestComplete{Key: "w/k", Attempt: "a", Fingerprint: "f", Result: Result{Outcome: OutcomeCompleted, Status: 201}}},
		{ID: "6", Items: &ItemResults{Job: "j", Items: []ItemResult{{Index: 1}}}},
		{ID: "7", Change: &Change{By: "op", Objects: []Object{{Kind: KindDrain, Name: "n", Drain: &Drain{}}}}},
		{ID: "8", Snapshot: &SnapshotChunk{Snapshot: "s", Next: 7, Chunks: 1, Data: []byte("y")}},
		{ID: "9", Carry: &Carry{Original: 9, Record: &Record{ID: "h", Items: &ItemResults{Job: "j", Items: []ItemResult{{Index: 1}}}}}},
	}
	empty, err := EncodeBatch(nil)
	assert.NilError(f, err)
	seeds := [][]byte{empty}
	for n := range records {
		data, err := EncodeBatch(records[n:])
		assert.NilError(f, err)
		seeds = append(seeds, data)
	}
	return seeds
}

// FuzzDecodeBatch checks that no entry of the log makes a reader fail otherwise
// than with an error, and that what it accepts survives another round.
func FuzzDecodeBatch(f *testing.F) {
	for _, seed := range seedBatches(f) {
		f.Add(seed)
		f.Add(seed[:len(seed)/2])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		records, err := DecodeBatch(data)
		if err != nil {
			return
		}
		once, err := EncodeBatch(records)
		assert.NilError(t, err)
		again, err := DecodeBatch(once)
		assert.NilError(t, err)
		twice, err := EncodeBatch(again)
		assert.NilError(t, err)
		for i := range records {
			_ = records[i].BodySize()
		}
		if !hasUnorderedMaps(records) {
			assert.Assert(t, bytes.Equal(once, twice))
			return
		}
		last, err := DecodeBatch(twice)
		assert.NilError(t, err)
		assert.DeepEqual(t, again, last)
	})
}

// hasUnorderedMaps reports whether records hold maps, whose encoding has no fixed order.
func hasUnorderedMaps(records []Record) bool {
	for _, r := range records {
		if r.Change != nil || r.Carry != nil {
			return true
		}
	}
	return false
}
