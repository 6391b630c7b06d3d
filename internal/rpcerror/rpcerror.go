// Package rpcerror classifies the failures of remote requests by the one fact a caller needs before it repeats one:
// whether the request may already have been carried out.
package rpcerror

import (
	"errors"
	"fmt"
	"time"
)

// Execution says whether a failed request may have run.
type Execution uint8

const (
	// MayHaveExecuted is the verdict on every failure that does not prove otherwise, and so the zero value.
	MayHaveExecuted Execution = iota
	// NotExecuted means that the request was not carried out and never will be; it may be sent elsewhere.
	NotExecuted
)

// String returns the verdict's name for logs.
func (v Execution) String() string {
	if v == NotExecuted {
		return "not run"
	}
	return "may have run"
}

// Error is a failed request together with its verdict.
type Error struct {
	Execution Execution
	// RetryAfter is how long the caller should wait before it tries again; 0 when the callee gave no hint.
	RetryAfter time.Duration
	Cause      error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%v (request %v)", e.Cause, e.Execution) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WrapNotExecuted wraps a failure of a request that did not run.
func WrapNotExecuted(cause error, retryAfter time.Duration) error {
	return &Error{Execution: NotExecuted, RetryAfter: retryAfter, Cause: cause}
}

// WrapMayHaveExecuted wraps a failure of a request that may have run.
func WrapMayHaveExecuted(cause error) error { return &Error{Execution: MayHaveExecuted, Cause: cause} }

// ExecutionOf returns the verdict on an error; an error without one may have run.
func ExecutionOf(err error) Execution {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Execution
	}
	return MayHaveExecuted
}

// RetryAfter returns the pause that the callee asked for; 0 when there is none.
func RetryAfter(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}
