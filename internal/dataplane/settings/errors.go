package settings

import "fmt"

// ValidationError is the error for an invalid settings object. Its text says what is wrong and what was expected.
type ValidationError string

// Error returns the text, with the key.
func (e ValidationError) Error() string { return string(e) }

// invalid returns a ValidationError with the formatted text.
func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
