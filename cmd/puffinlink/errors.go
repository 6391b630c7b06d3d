package main

import (
	"errors"
	"fmt"
	"time"
)

// errNoInterval says that nothing of a capture can be read.
var errNoInterval = errors.New("no interval of it can be read")

// errInterrupted is the end of a command that an operator has interrupted.
var errInterrupted = errors.New("interrupted")

// notAppliedError says that a version was not held everywhere in time.
type notAppliedError struct {
	wait    time.Duration
	version uint64
	tenant  string
}

func (e notAppliedError) Error() string {
	return fmt.Sprintf("not held everywhere after %s; `puffinlink fleet held %d %s` shows how far it gets", e.wait, e.version, e.tenant)
}

// usageError says what is wrong with a command line, and what was expected.
type usageError string

func (e usageError) Error() string { return string(e) }

func usageErrorf(format string, arguments ...any) error {
	return usageError(fmt.Sprintf(format, arguments...))
}
