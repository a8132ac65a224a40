package protocol

import (
	"bytes"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

func TestDecodeSnapshot(t *testing.T) {
	want := &Snapshot{Next: 5, Parts: []SnapshotPart{{Name: "config", Data: []byte("x")}}}
	data, err := want.Encode()
	assert.NilError(t, err)
	got, err := DecodeSnapshot(data, Fingerprint(data))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want)
	_, err = DecodeSnapshot(data[:len(data)-1], Fingerprint(data))
	assert.ErrorContains(t, err, "does not match its content hash")
	_, err = DecodeSnapshot([]byte("x"), Fingerprint([]byte("x")))
	assert.ErrorContains(t, err, "snapshot")
}

func TestConflictSurvivesProblem(t *testing.T) {
	want := VersionConflict{Kind: KindLabel, Name: "n", Base: PositionAt(1, 0), Current: PositionAt(2, 0)}
	p := ProblemOf(NewVersionConflict(want))
	assert.Equal(t, p.Outcome, OutcomeNotRun)
	assert.DeepEqual(t, ConflictOf(p.Err()), &want)
}

// TestMalformedLengths decodes encodings that declare more elements than they
// contain. They must be rejected without allocating the declared size.
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
