// Package rpcerror classifies the failures of remote requests by the one fact a caller needs before it repeats one:
// whether the request may already have been carried out.
package rpcerror

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a failed request may have run.
type Verdict uint8

const (
	// MayHaveRun is the verdict on every failure that does not prove otherwise, and so the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not carried out and never will be; it may be sent elsewhere.
	NotRun
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	if v == NotRun {
		return "not run"
	}
	return "may have run"
}

// Error is a failed request together with its verdict.
type Error struct {
	Verdict Verdict
	// RetryAfter is how long the caller should wait before it tries again; 0 when the callee gave no hint.
	RetryAfter time.Duration
	Cause      error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%v (request %v)", e.Cause, e.Verdict) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Unexecuted wraps a failure of a request that did not run.
func Unexecuted(cause error, retryAfter time.Duration) error {
	return &Error{Verdict: NotRun, RetryAfter: retryAfter, Cause: cause}
}

// Unclear wraps a failure of a request that may have run.
func Unclear(cause error) error { return &Error{Verdict: MayHaveRun, Cause: cause} }

// Of returns the verdict on an error; an error without one may have run.
func Of(err error) Verdict {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Verdict
	}
	return MayHaveRun
}

// RetryAfter returns the pause that the callee asked for; 0 when there is none.
func RetryAfter(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}
