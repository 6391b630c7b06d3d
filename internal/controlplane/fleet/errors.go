package fleet

import (
	"errors"
	"fmt"
)

var errTooManyCommands = errors.New("too many commands wait")

// RefusedError is why commands that wait get no outcome.
type RefusedError string

// Error is the reason, for the operator who sent the command.
func (e RefusedError) Error() string { return string(e) }

// panicError is a panic of the consensus library.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprintf("consensus library panicked: %v", e.value) }

// Unwrap gives the error that the panic was raised with, if it was one.
func (e panicError) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// ValidationError says what is wrong with a command, or how the operator's file contradicts the settings.
type ValidationError string

// Error is the message, for the operator who wrote the file or the command.
func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
