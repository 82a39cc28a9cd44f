package cli

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

// ExitCode is the tool's exit status.
type ExitCode int

// The exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailure: the command ran and failed.
	ExitFailure ExitCode = 1
	// ExitUsage: flags or arguments are wrong; nothing was done.
	ExitUsage ExitCode = 2
	// ExitFindings: the input was checked and has findings; nothing was done.
	ExitFindings ExitCode = 3
	// ExitConflict: another change came first and was not overwritten.
	ExitConflict ExitCode = 4
	// ExitUnreachable: the platform or the daemon could not be reached, or the
	// daemon did not answer.
	ExitUnreachable ExitCode = 5
	// ExitUnknown: no answer came; the call may or may not have taken effect.
	ExitUnknown ExitCode = 6
)

// exitError is an error with its exit code.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExit gives an error its exit code; nil stays nil.
func withExit(code ExitCode, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// withDefaultExit gives an error the code ExitFailure unless it has a code already.
func withDefaultExit(err error) error {
	var e *exitError
	if err == nil || errors.As(err, &e) {
		return err
	}
	return withExit(ExitFailure, err)
}

// action wraps a command's function for kingpin. It gives each of its errors an
// exit code, so that only errors in parsing the command line have none.
func action(f func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error { return withDefaultExit(f()) }
}

// exitCode returns an error's exit code. An error without one comes from parsing
// the command line.
func exitCode(err error) ExitCode {
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return ExitUsage
}
