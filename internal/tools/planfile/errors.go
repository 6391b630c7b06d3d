package planfile

import "fmt"

// DescriptionError reports a mistake in a plan file, or a capture that does not fit it. Its text is written for the author of
// the file.
type DescriptionError string

// Error implements error.
func (e DescriptionError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return DescriptionError(fmt.Sprintf(format, arguments...))
}
