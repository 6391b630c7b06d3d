package jsonc

import "fmt"

// SyntaxError says where a text is not JSON, beginning with a space and the line.
type SyntaxError string

// Error is the line and what was found there.
func (e SyntaxError) Error() string { return " " + string(e) }

// TypeError is a value of another type than its field's.
type TypeError struct{ Field, Found, Expected string }

// Error names the field, what was found and what was expected.
func (e TypeError) Error() string {
	return fmt.Sprintf("%s is a %s, expected %s", e.Field, e.Found, e.Expected)
}

// UnknownKeyError is a key, in quotes, that there is no field for.
type UnknownKeyError string

// Error names the key.
func (e UnknownKeyError) Error() string { return string(e) + " is not known" }
