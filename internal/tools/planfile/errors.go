package planfile

import "fmt"

// DescriptionError says what is wrong with a plan file or with the capture that fills it, for whoever wrote it.
type DescriptionError string

// Error implements error.
func (e DescriptionError) Error() string { return string(e) }

func wrong(format string, arguments ...any) error {
	return DescriptionError(fmt.Sprintf(format, arguments...))
}
