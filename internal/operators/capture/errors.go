package capture

import (
	"errors"
	"fmt"
)

// ErrNotCapture says that a file is none that any version of this package has written.
var ErrNotCapture = errors.New("is no capture")

// ValidationError says what is wrong with a capture or with what one is to be made of, and what was expected.
type ValidationError string

// Error returns what is wrong, for a person.
func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
