package demo

import "fmt"

// LostError reports that queries had no final answer. Its value is their number.
type LostError int64

// Error implements error.
func (e LostError) Error() string { return fmt.Sprintf("%d lookups had no final answer", int64(e)) }

// OptionsError describes invalid options and the expected values.
type OptionsError string

// Error implements error.
func (e OptionsError) Error() string { return string(e) }

func invalid(format string, arguments ...any) error {
	return OptionsError(fmt.Sprintf(format, arguments...))
}
