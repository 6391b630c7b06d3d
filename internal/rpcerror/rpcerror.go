// Package rpcerror defines the error type of remote requests. The error says whether the callee may have executed the request. A caller
// needs to know this before it retries a request that is not idempotent.
//
// A failed request counts as possibly executed unless the opposite is proven, as a caller can't distinguish a lost reply from a lost
// request. An error without an Error in its chain, such as an error of another package, is therefore treated as MayHaveExecuted.
package rpcerror

import (
	"errors"
	"fmt"
	"time"
)

// Execution says whether a failed request may have been executed by its callee.
type Execution uint8

const (
	// MayHaveExecuted is the value of every failure that does not prove the opposite. It is the zero value.
	MayHaveExecuted Execution = iota
	// NotExecuted means that the request was not executed and never will be. It is safe to send it again, also to another node.
	NotExecuted
)

// String returns the text that Error.Error includes. It must not change, as nodes of other versions and operators read it.
func (e Execution) String() string {
	if e == NotExecuted {
		return "not run"
	}
	return "may have run"
}

// Error is the failure of a request.
type Error struct {
	Execution Execution
	// RetryAfter is how long the caller should wait before its next attempt. It is 0 if the callee gave no hint.
	RetryAfter time.Duration
	Cause      error // never nil
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%v (request %v)", e.Cause, e.Execution) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// WrapNotExecuted wraps the failure of a request that was not executed. A retryAfter of 0 means that there is no hint.
func WrapNotExecuted(cause error, retryAfter time.Duration) error {
	return &Error{Execution: NotExecuted, RetryAfter: retryAfter, Cause: cause}
}

// WrapMayHaveExecuted wraps the failure of a request that may have been executed.
func WrapMayHaveExecuted(cause error) error { return &Error{Execution: MayHaveExecuted, Cause: cause} }

// ExecutionOf returns the Execution of the first Error in the chain of err, or MayHaveExecuted if there is none.
func ExecutionOf(err error) Execution {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Execution
	}
	return MayHaveExecuted
}

// RetryAfter returns how long the callee asked the caller to wait, or 0 if it gave no hint.
func RetryAfter(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}
