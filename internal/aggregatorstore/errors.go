package aggregatorstore

import "fmt"

// versionError says that a file is of another version than this package reads.
type versionError struct{ found, expected uint64 }

func (e versionError) Error() string {
	return fmt.Sprintf("is of version %d, expected %d", e.found, e.expected)
}

// panicError is a panic of the file's library or of a fault in mapped memory.
type panicError struct{ value any }

func (e panicError) Error() string { return fmt.Sprint(e.value) }

// Unwrap gives the error that the panic was raised with, if it was one.
func (e panicError) Unwrap() error {
	err, _ := e.value.(error)
	return err
}

// contentsError says what does not fit together in a file.
type contentsError string

func (e contentsError) Error() string { return string(e) }

func invalidContents(format string, arguments ...any) error {
	return contentsError(fmt.Sprintf(format, arguments...))
}

// corruptError says that a file is there and can be read, and not be trusted.
type corruptError struct{ err error }

func (e *corruptError) Error() string { return "spoilt: " + e.err.Error() }

// Unwrap gives what is wrong with the file.
func (e *corruptError) Unwrap() error { return e.err }
