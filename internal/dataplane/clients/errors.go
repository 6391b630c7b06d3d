package clients

import "fmt"

// RequestError says to a client what of its request is not as it should be.
type RequestError string

func (e RequestError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return RequestError(fmt.Sprintf(format, arguments...))
}
