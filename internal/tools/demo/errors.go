package demo

import "fmt"

// LostError is how many queries had no final answer.
type LostError int64

// Error implements error.
func (e LostError) Error() string { return fmt.Sprintf("%d lookups had no final answer", int64(e)) }

// OptionsError says that options do not fit, and what was expected.
type OptionsError string

// Error implements error.
func (e OptionsError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return OptionsError(fmt.Sprintf(format, arguments...))
}
