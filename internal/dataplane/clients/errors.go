package clients

import "fmt"

// RequestError is the reason why a request is rejected as malformed. Its text is sent to the client.
type RequestError string

// Error returns the text for the client.
func (e RequestError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return RequestError(fmt.Sprintf(format, arguments...))
}
