package discovery

import (
	"errors"
	"fmt"
)

// errWatchTimeout is the error of a watch without any line for too long.
var errWatchTimeout = errors.New("no line and no beat")

// StatusError is the error for an HTTP status other than 200 from the registry.
type StatusError int

// Error returns the text, with the status.
func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// ListError is the error for a list that violates the registry's protocol.
type ListError string

// Error returns the text, with the backend and the field if there is one.
func (e ListError) Error() string { return string(e) }

// malformed returns a ListError with the formatted text.
func malformed(format string, arguments ...any) error {
	return ListError(fmt.Sprintf(format, arguments...))
}
