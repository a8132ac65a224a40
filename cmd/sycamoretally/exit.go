package main

import (
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/protocol/fleet"
	"github.com/sycamoretally/sycamoretally/settings"
)

// The exit codes. docs/API.md lists them for scripts.
const (
	// exitFailed is a fault of the command line or of a file, or work that ran and
	// failed.
	exitFailed = 1
	// exitNotRun means that nothing has happened; a refused key and an unknown name
	// count here too.
	exitNotRun = 2
	// exitUnknown means that the command may have taken effect.
	exitUnknown = 3
	// exitConflict means that another change came between, or that the key
	// belongs to something else.
	exitConflict = 4
	// exitDiffers means that diff found differences.
	exitDiffers = 5
	// exitJobIncomplete means that a job that was waited for ended with failed
	// items or was cancelled.
	exitJobIncomplete = 6
)

var (
	errDiffers       = protocol.Errors.NewType("differs")
	errJobIncomplete = protocol.Errors.NewType("job_incomplete")
)

// exitCode tells scripts what became of a command.
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
