package sidecar

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// fakeTarget answers probes with its boot identity while it is up.
type fakeTarget struct {
	boot    string
	down    bool
	records []protocol.Record
}

func (f *fakeTarget) newDetector() *crashDetector {
	return &crashDetector{
		target: "t",
		probe: func(context.Context) (string, error) {
			if f.down {
				return "", protocol.ErrNotSent.New("connection refused")
			}
			return f.boot, nil
		},
		store: func(_ context.Context, rec protocol.Record) (protocol.Position, error) {
			f.records = append(f.records, rec)
			return protocol.PositionAt(uint64(len(f.records)), 0), nil
		},
		spawn:    func(run func()) { run() },
		onCrash:  func() {},
		inFlight: map[string]*inFlightCall{},
		endedBy:  map[string]*incident{},
	}
}

var errBroken = protocol.ErrTruncated.New("stream broke")

func TestCrashOrCut(t *testing.T) {
	tests := []struct {
		name    string
		after   func(f *fakeTarget)
		crashed bool
	}{
		{"target goes on", func(*fakeTarget) {}, false},
		{"target is down", func(f *fakeTarget) { f.down = true }, true},
		{"target was restarted", func(f *fakeTarget) { f.boot = "2" }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeTarget{boot: "1"}
			c := f.newDetector()
			assert.NilError(t, c.awaitBootID(t.Context()))
			c.addInFlight("a", "fa")
			c.addInFlight("b", "fb")
			c.markProductive("b")
			test.after(f)
			err := c.finishAttempt(t.Context(), "a", errBroken)
			assert.Equal(t, errorx.IsOfType(err, protocol.ErrTargetCrashed), test.crashed)
			err = c.finishAttempt(t.Context(), "b", errBroken)
			assert.Equal(t, errorx.IsOfType(err, protocol.ErrTargetCrashed), test.crashed)
			if !test.crashed {
				assert.Equal(t, len(f.records), 0)
				return
			}
			assert.Equal(t, len(f.records), 1, "one record for one crash")
			assert.DeepEqual(t, f.records[0].Crash.Fingerprints, []string{"fa", "fb"})
			assert.DeepEqual(t, f.records[0].Crash.Productive, []string{"fb"})
			assert.Assert(t, c.takeIncident("a") != nil)
		})
	}
}

// TestRestartIsOneCrash checks that the new boot identity after a crash does not
// count as another one.
func TestRestartIsOneCrash(t *testing.T) {
	f := &fakeTarget{boot: "1"}
	c := f.newDetector()
	assert.NilError(t, c.awaitBootID(t.Context()))
	c.addInFlight("a", "fa")
	f.down = true
	assert.Assert(t, errorx.IsOfType(c.finishAttempt(t.Context(), "a", errBroken), protocol.ErrTargetCrashed))
	f.down, f.boot = false, "2"
	assert.NilError(t, c.awaitBootID(t.Context()))
	c.addInFlight("b", "fb")
	c.observeBoot("2")
	assert.NilError(t, c.finishAttempt(t.Context(), "b", nil))
	assert.Equal(t, len(f.records), 1)
}

// TestNotInFlight checks that calls which the target never had, answered or
// completed are no suspects.
func TestNotInFlight(t *testing.T) {
	f := &fakeTarget{boot: "1"}
	c := f.newDetector()
	assert.NilError(t, c.awaitBootID(t.Context()))
	c.addInFlight("done", "f1")
	assert.NilError(t, c.finishAttempt(t.Context(), "done", nil))
	c.addInFlight("refused", "f2")
	assert.Assert(t, c.finishAttempt(t.Context(), "refused", protocol.ErrBadRequest.New("no")) != nil)
	c.addInFlight("last", "f3")
	f.down = true
	assert.Assert(t, c.finishAttempt(t.Context(), "last", errBroken) != nil)
	assert.DeepEqual(t, f.records[0].Crash.Fingerprints, []string{"f3"})
}
