package api

import (
	"errors"
	"fmt"
)

// ErrInUse is returned by Listen if another process serves the socket.
var ErrInUse = errors.New("another process listens there")

// ValidationError describes an invalid command or token and says what was expected.
type ValidationError string

// Error implements the error interface.
func (e ValidationError) Error() string { return string(e) }

// invalid returns a ValidationError with a formatted text.
func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
