package backends

import "fmt"

// refusedError is the text with which a backend refuses a connection.
type refusedError string

func (e refusedError) Error() string { return fmt.Sprintf("%.200q", string(e)) }

// FrameError says what is wrong with a frame.
type FrameError string

// Error is the text, with what was expected.
func (e FrameError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return FrameError(fmt.Sprintf(format, arguments...))
}
