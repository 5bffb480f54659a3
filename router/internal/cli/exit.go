// Package cli has what the commands of masticplank share: exit statuses, output formats
// and requests to all instances.
package cli

import (
	"errors"
	"fmt"
)

// Exit statuses of masticplank and masticplankd.
const (
	// StatusOK: the command succeeded.
	StatusOK = 0
	// StatusFailed: the command failed, or the system broke a promise.
	StatusFailed = 1
	// StatusInvalid: the input (a file, a flag) is invalid.
	StatusInvalid = 2
	// StatusPartial: the command succeeded in part, for example because some
	// instances did not answer.
	StatusPartial = 3
)

// StatusError is an error together with the exit status of the process.
type StatusError struct {
	Status int
	Err    error
}

// Error returns the text of the wrapped error.
func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *StatusError) Unwrap() error { return e.Err }

// WithStatus returns err as a StatusError with status.
func WithStatus(status int, err error) error {
	return &StatusError{Status: status, Err: err}
}

// StatusErrorf is WithStatus with an error formatted by fmt.Errorf.
func StatusErrorf(status int, format string, args ...any) error {
	return WithStatus(status, fmt.Errorf(format, args...))
}

// ExitStatus returns the exit status for the error that a command returned: StatusOK
// for nil, that of a StatusError in its chain, StatusFailed for any other error.
func ExitStatus(err error) int {
	var statusErr *StatusError
	switch {
	case err == nil:
		return StatusOK
	case errors.As(err, &statusErr):
		return statusErr.Status
	default:
		return StatusFailed
	}
}
