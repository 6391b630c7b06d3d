package aggregatorstore

import "fmt"

// versionError reports a file whose format version this package does not support.
type versionError struct{ found, expected uint64 }

func (e versionError) Error() string {
	return fmt.Sprintf("is of version %d, expected %d", e.found, e.expected)
}

// panicError is a recovered panic of the database library, or of a fault in mapped memory.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprint(e.value) }

// Unwrap returns the panic's value if that is an error.
func (e panicError) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// contentsError describes an inconsistency in the contents of a file.
type contentsError string

func (e contentsError) Error() string { return string(e) }

func invalidContents(format string, arguments ...any) error {
	return contentsError(fmt.Sprintf(format, arguments...))
}

// corruptError reports a file that can be read but has invalid contents.
type corruptError struct{ err error }

func (e *corruptError) Error() string { return "spoilt: " + e.err.Error() }

// Unwrap returns the error that describes the corruption.
func (e *corruptError) Unwrap() error { return e.err }
