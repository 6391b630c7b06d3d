package operatorfile

import "fmt"

// ValidationError says what is wrong in the operator's file or a key file, and what was expected there.
type ValidationError string

// Error returns what is wrong, for a person.
func (e ValidationError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return ValidationError(fmt.Sprintf(format, arguments...))
}
