package mutants

import "fmt"

// TableError says what of a table of mutants is wrong or does not fit the source.
type TableError string

// Error returns what is wrong, for a person.
func (e TableError) Error() string { return string(e) }

func tableErrorf(format string, arguments ...any) error {
	return TableError(fmt.Sprintf(format, arguments...))
}
