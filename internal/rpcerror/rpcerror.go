// Package rpcerror has the error type of remote requests. It carries the one fact that a caller needs before it retries a
// request that is not idempotent: whether the callee may have executed it.
//
// A failure without proof to the contrary counts as executed, as a lost reply cannot be told from a lost request. An error
// that carries no Error in its chain, such as one of another package, is therefore treated as MayHaveExecuted.
package rpcerror

import (
	"errors"
	"fmt"
	"time"
)

// Execution says whether a failed request may have been executed by its callee.
type Execution uint8

const (
	// MayHaveExecuted holds for each failure that does not prove the contrary; it is the zero value.
	MayHaveExecuted Execution = iota
	// NotExecuted means that the request was not executed and never will be. It is safe to send it again, also elsewhere.
	NotExecuted
)

// String returns the text that Error.Error shows. Nodes of other builds and operators read it: it does not change.
func (e Execution) String() string {
	if e == NotExecuted {
		return "not run"
	}
	return "may have run"
}

// Error is the failure of a request.
type Error struct {
	Execution Execution
	// RetryAfter is how long the caller should wait before its next attempt; 0 when the callee gave no hint.
	RetryAfter time.Duration
	Cause      error // never nil
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%v (request %v)", e.Cause, e.Execution) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// WrapNotExecuted wraps the failure of a request that was not executed. retryAfter is 0 where there is no hint.
func WrapNotExecuted(cause error, retryAfter time.Duration) error {
	return &Error{Execution: NotExecuted, RetryAfter: retryAfter, Cause: cause}
}

// WrapMayHaveExecuted wraps the failure of a request that may have been executed.
func WrapMayHaveExecuted(cause error) error { return &Error{Execution: MayHaveExecuted, Cause: cause} }

// ExecutionOf returns the Execution of the first Error in the chain of err, and MayHaveExecuted where there is none.
func ExecutionOf(err error) Execution {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Execution
	}
	return MayHaveExecuted
}

// RetryAfter returns how long the callee asked the caller to wait; 0 where it did not.
func RetryAfter(err error) time.Duration {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.RetryAfter
	}
	return 0
}
