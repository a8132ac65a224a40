package main

import (
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/settings"
)

// The exit codes. docs/API.md lists them for scripts.
const (
	// exitFailed means an invalid command line or file, or work that ran and failed.
	exitFailed = 1
	// exitNotRun means that the command had no effect, for example because of a refused
	// key or an unknown name.
	exitNotRun = 2
	// exitUnknown means that the command may have taken effect.
	exitUnknown = 3
	// exitConflict means that the object has changed since the base version, or that
	// the idempotency key belongs to another request.
	exitConflict = 4
	// exitDiffers means that diff found differences.
	exitDiffers = 5
	// exitJobIncomplete means that a job ended with failed items or was cancelled while
	// the command waited for it.
	exitJobIncomplete = 6
)

var (
	errDiffers       = protocol.Errors.NewType("differs")
	errJobIncomplete = protocol.Errors.NewType("job_incomplete")
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, errDiffers):
		return exitDiffers
	case errorx.IsOfType(err, errJobIncomplete):
		return exitJobIncomplete
	case errorx.IsOfType(err, settings.ErrSettings), errorx.IsOfType(err, fleet.ErrMalformed):
		return exitFailed
	case errorx.IsOfType(err, protocol.ErrVersionConflict), errorx.IsOfType(err, protocol.ErrKeyConflict):
		return exitConflict
	case errorx.Cast(err) == nil:
		return exitFailed
	}
	switch protocol.OutcomeOf(err) {
	case protocol.OutcomeNotRun:
		return exitNotRun
	case protocol.OutcomeUnknown:
		return exitUnknown
	default:
		return exitFailed
	}
}
