package sidecar

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestSuspectPreemptsRunningBatch checks which batch items a suspect preempts: those in
// flight, but a suspect that is a batch item does not preempt another suspect.
func TestSuspectPreemptsRunningBatch(t *testing.T) {
	tests := []struct {
		name         string
		class        protocol.Class
		sent, alone  bool
		wantPreempts bool
	}{
		{"ordinary item in flight", protocol.ClassBatch, true, false, true},
		{"ordinary item that waits", protocol.ClassBatch, false, false, false},
		{"suspect item in flight", protocol.ClassBatch, true, true, false},
		{"suspect item that waits", protocol.ClassBatch, false, true, false},
		{"suspect item in flight, preempted by an online suspect", protocol.ClassOnline, true, true, true},
		{"suspect item that waits, and an online suspect", protocol.ClassOnline, false, true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, _ := newTestRunner(t, 2)
			ctx, release, err := r.admit(t.Context(), attempt("item", protocol.ClassBatch))
			assert.NilError(t, err)
			defer release()
			r.addPermit(&permit{attempt: "item", alone: test.alone})
			if test.sent {
				r.crashDetector.addInFlight("item", "f")
			}
			_, releaseSuspect, err := r.admit(t.Context(), attempt("suspect", test.class))
			assert.NilError(t, err)
			defer releaseSuspect()
			suspect := &permit{attempt: "suspect", alone: true}
			r.addPermit(suspect)
			r.preemptBatchFor(suspect)
			assert.Equal(t, errorx.IsOfType(context.Cause(ctx), errPreempted), test.wantPreempts)
		})
	}
}
