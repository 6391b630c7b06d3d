package capture

import (
	"errors"
	"fmt"
)

// ErrNotCapture is returned for a file that no version of this package has written.
var ErrNotCapture = errors.New("is no capture")

// ValidationError describes an invalid capture, or invalid parameters for one, and says what was expected.
type ValidationError string

// Error implements the error interface.
func (e ValidationError) Error() string { return string(e) }

// invalid returns a ValidationError with a formatted text.
func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
