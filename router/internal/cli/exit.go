// Package cli holds what the commands of masticplank share.
package cli

import (
	"errors"
	"fmt"
)

// Exit statuses of masticplank.
const (
	// StatusOK: done.
	StatusOK = 0
	// StatusFailed: the command could not do its work, or found a promise
	// broken.
	StatusFailed = 1
	// StatusInvalid: the input (a file, a flag) is wrong.
	StatusInvalid = 2
	// StatusPartial: done for some instances; the others did not answer.
	StatusPartial = 3
)

// StatusError is an error with the exit status that it ends the process with.
type StatusError struct {
	Status int
	Err    error
}

// Error is the text of the error inside.
func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the error inside.
func (e *StatusError) Unwrap() error { return e.Err }

// Exit makes err end the process with status.
func WithStatus(status int, err error) error {
	return &StatusError{Status: status, Err: err}
}

// Exitf is Exit with a formatted error.
func StatusErrorf(status int, format string, args ...any) error {
	return WithStatus(status, fmt.Errorf(format, args...))
}

// Status is the exit status for what a command returned.
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
