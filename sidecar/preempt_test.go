package sidecar

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestSuspectPreemptsRunningBatch checks which batch work a suspect stops: what
// the target has, and not the suspects that wait like it or run before it.
func TestSuspectPreemptsRunningBatch(t *testing.T) {
	tests := []struct {
		name         string
		class        protocol.Class
		sent, alone  bool
		wantPreempts bool
	}{
		{"an ordinary item that runs", protocol.ClassBatch, true, false, true},
		{"an ordinary item that waits", protocol.ClassBatch, false, false, false},
		{"a suspect that runs", protocol.ClassBatch, true, true, false},
		{"a suspect that waits", protocol.ClassBatch, false, true, false},
		{"a suspect item, for an online one", protocol.ClassOnline, true, true, true},
		{"a waiting suspect item, for an online one", protocol.ClassOnline, false, true, false},
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
			_, leave, err := r.admit(t.Context(), attempt("suspect", test.class))
			assert.NilError(t, err)
			defer leave()
			suspect := &permit{attempt: "suspect", alone: true}
			r.addPermit(suspect)
			r.preemptBatchFor(suspect)
			assert.Equal(t, errorx.IsOfType(context.Cause(ctx), errPreempted), test.wantPreempts)
		})
	}
}
