package goldentest

import "fmt"

// FillError reports which field of a type cannot be filled.
type FillError string

// Error implements error.
func (e FillError) Error() string { return string(e) }

func fillErrorf(format string, arguments ...any) error {
	return FillError(fmt.Sprintf(format, arguments...))
}
