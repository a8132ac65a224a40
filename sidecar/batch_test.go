package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sycamoretally/sycamoretally/protocol"
)

// TestSetOutcome checks which result, text and failure an item gets for each error of its
// attempt. Only a failure of the target counts as a failure of the item.
func TestSetOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		err     error
		result  protocol.Outcome
		resume  bool
		failure bool
	}{
		"whole":     {nil, protocol.OutcomeCompleted, false, false},
		"refused":   {protocol.ErrBadRequest.New("never"), protocol.OutcomeFailed, false, false},
		"preempted": {errPreempted.New("online"), "", true, false},
		"busy":      {protocol.ErrBusy.New("full"), "", true, false},
		"not sent":  {protocol.ErrNotSent.New("down"), "", true, false},
		"cancelled": {protocol.ErrCancelled.New("stop"), "", true, false},
		"crashed":   {protocol.ErrTargetFailed.New("reset"), "", true, true},
		"truncated": {protocol.ErrTruncated.New("cut"), "", true, true},
		"timeout":   {protocol.ErrTimeout.New("late"), "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			finish := &protocol.FinishArgs{}
			setOutcome(finish, []string{"a ", "b "}, c.err)
			assert.Equal(t, finish.Result != nil, c.result != "")
			if finish.Result != nil {
				assert.Equal(t, finish.Result.Outcome, c.result)
			}
			if c.result == protocol.OutcomeCompleted {
				assert.Equal(t, string(finish.Result.Body), "a b ")
			}
			assert.Equal(t, len(finish.Resume) > 0, c.resume)
			assert.Equal(t, finish.Failure != "", c.failure)
		})
	}
}
