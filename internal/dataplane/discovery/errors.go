package discovery

import (
	"errors"
	"fmt"
)

var errWatchTimeout = errors.New("no line and no beat")

// StatusError is an HTTP status other than 200 of the register.
type StatusError int

func (e StatusError) Error() string { return fmt.Sprintf("status %d", int(e)) }

// ListError says what of a list is not as the register's protocol has it.
type ListError string

func (e ListError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return ListError(fmt.Sprintf(format, arguments...))
}
