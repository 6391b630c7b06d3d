package plan

import "fmt"

// DescriptionError reports a mistake in the description of a deployment, a workload or offers, or a request that the
// description cannot meet. Its text is written for the author of the description.
type DescriptionError string

// Error implements error.
func (e DescriptionError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return DescriptionError(fmt.Sprintf(format, arguments...))
}
