package jsonc

import "fmt"

// SyntaxError reports the line at which a text is not valid JSON, and what was found there.
type SyntaxError string

// Error implements the error interface. The text begins with a space, so that it can follow a file name and a colon.
func (e SyntaxError) Error() string { return " " + string(e) }

// TypeError reports a value whose type does not match that of its field.
type TypeError struct{ Field, Found, Expected string }

// Error implements the error interface.
func (e TypeError) Error() string {
	return fmt.Sprintf("%s is a %s, expected %s", e.Field, e.Found, e.Expected)
}

// UnknownKeyError reports a key that has no field. Its value is the key in quotes.
type UnknownKeyError string

// Error implements the error interface.
func (e UnknownKeyError) Error() string { return string(e) + " is not known" }
