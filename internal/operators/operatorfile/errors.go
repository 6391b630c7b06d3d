package operatorfile

import "fmt"

// ValidationError describes mistakes in the operator's file or a key file and says what was expected.
type ValidationError string

// Error implements the error interface.
func (e ValidationError) Error() string { return string(e) }

// invalid returns a ValidationError with a formatted text.
func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
