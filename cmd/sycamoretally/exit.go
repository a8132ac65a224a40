package main

import (
	"github.com/joomcode/errorx"

	"github.com/sycamoretally/sycamoretally/protocol"
	"github.com/sycamoretally/sycamoretally/settings"
)

// The exit codes.
const (
	exitFailed   = 1
	exitNotRun   = 2
	exitUnknown  = 3
	exitConflict = 4
)

// exitCode tells scripts what became of a command.
func exitCode(err error) int {
	switch {
	case errorx.IsOfType(err, settings.ErrSettings):
		return exitFailed
	case errorx.IsOfType(err, protocol.ErrVersion), errorx.IsOfType(err, protocol.ErrKeyConflict):
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
