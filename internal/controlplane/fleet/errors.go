package fleet

import (
	"errors"
	"fmt"
)

var errTooManyCommands = errors.New("too many commands wait")

// RefusedError is why commands that wait get no answer.
type RefusedError string

func (e RefusedError) Error() string { return string(e) }

// panicError is a panic of the consensus's library.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprintf("the council's library gave up: %v", e.value) }

// ValidationError says what is wrong with a command or with what the settings and the operator's file say against each other.
type ValidationError string

func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
