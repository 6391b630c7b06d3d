package clients

import "fmt"

// RequestError says to a client what is wrong with its request.
type RequestError string

// Error is the text, a sentence for the client.
func (e RequestError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return RequestError(fmt.Sprintf(format, arguments...))
}
