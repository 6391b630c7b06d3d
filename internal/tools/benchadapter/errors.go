package benchadapter

import "fmt"

// FormError says what of a line or of the order of lines is not as the protocol has it.
type FormError string

// Error implements error.
func (e FormError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return FormError(fmt.Sprintf(format, arguments...))
}
