package backends

import "fmt"

// refusedError is the text with which a backend refuses a connection.
type refusedError string

func (e refusedError) Error() string { return fmt.Sprintf("%.200q", string(e)) }

// FrameError says what of a frame is not as the protocol has it.
type FrameError string

func (e FrameError) Error() string { return string(e) }

func malformed(format string, arguments ...any) error {
	return FrameError(fmt.Sprintf(format, arguments...))
}
