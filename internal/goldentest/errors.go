package goldentest

import "fmt"

// FillError says which field of a type cannot be filled.
type FillError string

// Error returns what is wrong, for a person.
func (e FillError) Error() string { return string(e) }

func unfit(format string, arguments ...any) error {
	return FillError(fmt.Sprintf(format, arguments...))
}
