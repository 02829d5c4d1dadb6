package main

import (
	"errors"

	"parsleypulley/internal/config"
	"parsleypulley/internal/fault"
)

// Exit codes. They are documented in docs/operators/tool.md.
const (
	exitOK              = 0
	exitFailed          = 1
	exitUsage           = 2
	exitInvalid         = 3
	exitConflict        = 4
	exitUnavailable     = 5
	exitOutcomeUnknown  = 6
	exitUnauthenticated = 7
	exitDiffers         = 8
)

// errDiffers is returned if the configuration in force differs from a declaration.
// It only sets the exit code and is not printed.
var errDiffers = errors.New("the configuration in force differs from the declaration")

// usageError is returned for invalid arguments, flags or environment variables,
// and for input files that can't be read.
type usageError struct{ error }

// refusedError is returned if the control replicas refuse an action on a backend
// server.
type refusedError struct{ error }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	var refused refusedError
	var invalid *config.InvalidError
	var failed *fault.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &refused):
		return exitConflict
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &failed):
		return faultExitCode(failed)
	}
	return exitFailed
}

// faultExitCode returns the exit code for an error of the operator API.
func faultExitCode(e *fault.Error) int {
	switch e.Kind {
	case fault.Unauthenticated, fault.Forbidden:
		return exitUnauthenticated
	case fault.Conflict:
		return exitConflict
	case fault.BadRequest, fault.BodyTooLarge:
		return exitInvalid
	}
	if e.Outcome != fault.NotRun {
		return exitOutcomeUnknown
	}
	if e.Kind == fault.Unavailable || e.Kind == fault.LinkDown || e.Kind == fault.NotLeader {
		return exitUnavailable
	}
	return exitFailed
}
