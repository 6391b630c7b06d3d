package fleet

import (
	"errors"
	"fmt"
)

var errTooManyCommands = errors.New("too many commands wait")

// RefusedError is the reason why a pending command was ended without an outcome.
type RefusedError string

// Error returns the reason. The operator who sent the command sees it.
func (e RefusedError) Error() string { return string(e) }

// panicError wraps the value of a recovered panic of the consensus library.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprintf("consensus library panicked: %v", e.value) }

// Unwrap returns the value of the panic if it is an error, and nil otherwise.
func (e panicError) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// ValidationError describes an invalid command, or a contradiction between the operator's file and the settings.
type ValidationError string

// Error returns the message. The operator who wrote the file or the command sees it.
func (e ValidationError) Error() string { return string(e) }

func newValidationError(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
