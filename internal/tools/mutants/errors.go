package mutants

import "fmt"

// TableError describes a mistake in a table of mutants, or a mutant that does not match its source file.
type TableError string

// Error returns the description of the mistake.
func (e TableError) Error() string { return string(e) }

// tableErrorf returns a TableError with a formatted description.
func tableErrorf(format string, arguments ...any) error {
	return TableError(fmt.Sprintf(format, arguments...))
}
