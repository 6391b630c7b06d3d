package backends

import "fmt"

// refusedError is the reason that a backend gives when it refuses a frame. It is text from the network.
type refusedError string

// Error returns the reason, quoted and truncated to 200 bytes.
func (e refusedError) Error() string { return fmt.Sprintf("%.200q", string(e)) }

// FrameError is the error for a malformed frame. Its text says what is wrong.
type FrameError string

// Error returns the text.
func (e FrameError) Error() string { return string(e) }

// malformed returns a FrameError with the formatted text.
func malformed(format string, arguments ...any) error {
	return FrameError(fmt.Sprintf(format, arguments...))
}
