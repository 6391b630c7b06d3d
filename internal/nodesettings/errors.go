package nodesettings

import (
	"errors"
	"fmt"
	"reflect"
)

// errNotSet is returned by Load if PathVariable is not set.
var errNotSet = errors.New(PathVariable + " is not set: set it to the path of the settings file")

// ExpectationError is the cause of a KeyError. It says what the value has to be.
type ExpectationError string

// Error implements the error interface.
func (e ExpectationError) Error() string { return string(e) }

// expectation returns an ExpectationError with a formatted text.
func expectation(format string, arguments ...any) error {
	return ExpectationError(fmt.Sprintf(format, arguments...))
}

// unsupportedTypeError reports a field of Settings with a type that cannot be parsed. It indicates a bug in this package.
type unsupportedTypeError struct{ of reflect.Type }

// Error implements the error interface.
func (e unsupportedTypeError) Error() string {
	return fmt.Sprintf("fields of type %v are not supported", e.of)
}
