package main

import (
	"errors"
	"fmt"
	"time"
)

// errNoInterval means that a capture contains no readable interval.
var errNoInterval = errors.New("no interval of it can be read")

// errInterrupted means that the operator interrupted the command.
var errInterrupted = errors.New("interrupted")

// notAppliedError means that not all aggregators applied a contract version within the wait.
type notAppliedError struct {
	wait    time.Duration
	version uint64
	tenant  string
}

func (e notAppliedError) Error() string {
	return fmt.Sprintf("not held everywhere after %s; `puffinlink fleet held %d %s` shows how far it gets", e.wait, e.version, e.tenant)
}

// usageError describes an invalid command line: what was found and what was expected.
type usageError string

func (e usageError) Error() string { return string(e) }

func usageErrorf(format string, arguments ...any) error {
	return usageError(fmt.Sprintf(format, arguments...))
}
