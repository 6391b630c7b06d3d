package nodesettings

import (
	"errors"
	"fmt"
	"reflect"
)

var errNotSet = errors.New(PathVariable + " is not set: set it to the path of the settings file")

// ExpectationError says what a value has to be.
type ExpectationError string

func (e ExpectationError) Error() string { return string(e) }

func want(format string, arguments ...any) error {
	return ExpectationError(fmt.Sprintf(format, arguments...))
}

// unsupportedTypeError is a mistake in Settings itself.
type unsupportedTypeError struct{ of reflect.Type }

func (e unsupportedTypeError) Error() string {
	return fmt.Sprintf("fields of type %v are not supported", e.of)
}
