package discovery

import (
	"errors"
	"fmt"
)

var errWatchTimeout = errors.New("no line and no beat")

// StatusError is an HTTP status other than 200 of the registry.
type StatusError int

// Error has the status.
func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// ListError says what of a list is not as the registry's protocol has it.
type ListError string

// Error is the text, with the backend and the field.
func (e ListError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return ListError(fmt.Sprintf(format, arguments...))
}
