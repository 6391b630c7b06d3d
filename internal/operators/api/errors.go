package api

import (
	"errors"
	"fmt"
)

// ErrInUse is the error of Listen where another process serves the socket.
var ErrInUse = errors.New("another process listens there")

// ValidationError says what is wrong with a command or a token, and what was expected.
type ValidationError string

// Error returns what is wrong, for a person.
func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
