package benchadapter

import "fmt"

// ProtocolError describes a line, or an order of lines, that violates the protocol.
type ProtocolError string

// Error implements error.
func (e ProtocolError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return ProtocolError(fmt.Sprintf(format, arguments...))
}
