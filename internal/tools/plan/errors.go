package plan

import "fmt"

// DescriptionError says what is wrong with a description of a fleet, a load or offers, or what cannot be had of it, for whoever wrote it.
type DescriptionError string

// Error implements error.
func (e DescriptionError) Error() string { return string(e) }

func wrong(format string, arguments ...any) error {
	return DescriptionError(fmt.Sprintf(format, arguments...))
}
