package sidecar

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// fakeTarget is a target that reports its boot ID to probes while it is up.
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

var errStreamBroken = protocol.ErrTruncated.New("stream broke")

// TestCrashOrBrokenStream checks that a broken stream counts as a crash only if the target
// is down or was restarted, and that one crash gives one record with all calls in flight.
func TestCrashOrBrokenStream(t *testing.T) {
	tests := []struct {
		name    string
		after   func(f *fakeTarget)
		crashed bool
	}{
		{"target keeps running", func(*fakeTarget) {}, false},
		{"target is down", func(f *fakeTarget) { f.down = true }, true},
		{"target was restarted", func(f *fakeTarget) { f.boot = "2" }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := &fakeTarget{boot: "1"}
			d := f.newDetector()
			assert.NilError(t, d.awaitBootID(t.Context()))
			d.addInFlight("a", "fa")
			d.addInFlight("b", "fb")
			d.markProductive("b")
			test.after(f)
			err := d.finishAttempt(t.Context(), "a", errStreamBroken)
			assert.Equal(t, errorx.IsOfType(err, protocol.ErrTargetCrashed), test.crashed)
			err = d.finishAttempt(t.Context(), "b", errStreamBroken)
			assert.Equal(t, errorx.IsOfType(err, protocol.ErrTargetCrashed), test.crashed)
			if !test.crashed {
				assert.Equal(t, len(f.records), 0)
				return
			}
			assert.Equal(t, len(f.records), 1, "one record for one crash")
			assert.DeepEqual(t, f.records[0].Crash.Fingerprints, []string{"fa", "fb"})
			assert.DeepEqual(t, f.records[0].Crash.Productive, []string{"fb"})
			assert.Assert(t, d.takeIncident("a") != nil)
		})
	}
}

// TestRestartIsOneCrash checks that the new boot ID after a crash does not count as
// another crash.
func TestRestartIsOneCrash(t *testing.T) {
	f := &fakeTarget{boot: "1"}
	d := f.newDetector()
	assert.NilError(t, d.awaitBootID(t.Context()))
	d.addInFlight("a", "fa")
	f.down = true
	assert.Assert(t, errorx.IsOfType(d.finishAttempt(t.Context(), "a", errStreamBroken), protocol.ErrTargetCrashed))
	f.down, f.boot = false, "2"
	assert.NilError(t, d.awaitBootID(t.Context()))
	d.addInFlight("b", "fb")
	d.observeBoot("2")
	assert.NilError(t, d.finishAttempt(t.Context(), "b", nil))
	assert.Equal(t, len(f.records), 1)
}

// TestEndedCallsAreNoSuspects checks that calls which had completed or which the target
// had refused when it crashed are not among the suspects.
func TestEndedCallsAreNoSuspects(t *testing.T) {
	f := &fakeTarget{boot: "1"}
	d := f.newDetector()
	assert.NilError(t, d.awaitBootID(t.Context()))
	d.addInFlight("done", "f1")
	assert.NilError(t, d.finishAttempt(t.Context(), "done", nil))
	d.addInFlight("refused", "f2")
	assert.Assert(t, d.finishAttempt(t.Context(), "refused", protocol.ErrBadRequest.New("no")) != nil)
	d.addInFlight("last", "f3")
	f.down = true
	assert.Assert(t, d.finishAttempt(t.Context(), "last", errStreamBroken) != nil)
	assert.DeepEqual(t, f.records[0].Crash.Fingerprints, []string{"f3"})
}
