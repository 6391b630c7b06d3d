package settings

import "fmt"

// ValidationError says what is wrong with the settings object, and what was expected.
type ValidationError string

// Error is the text, with the key and what was expected.
func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
