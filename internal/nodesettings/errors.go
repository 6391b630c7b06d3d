package nodesettings

import (
	"errors"
	"fmt"
	"reflect"
)

// errNotSet is the error of Load without PathVariable.
var errNotSet = errors.New(PathVariable + " is not set: set it to the path of the settings file")

// ExpectationError is the cause of a KeyError: it says what the value has to be.
type ExpectationError string

// Error implements the error interface.
func (e ExpectationError) Error() string { return string(e) }

// want makes an ExpectationError.
func want(format string, arguments ...any) error {
	return ExpectationError(fmt.Sprintf(format, arguments...))
}

// unsupportedTypeError is the error of a field of Settings whose type cannot be read. It is a mistake in this package.
type unsupportedTypeError struct{ of reflect.Type }

// Error implements the error interface.
func (e unsupportedTypeError) Error() string {
	return fmt.Sprintf("fields of type %v are not supported", e.of)
}
