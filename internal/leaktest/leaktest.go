// Package leaktest fails a package's tests if they leak goroutines or file descriptors. The TestMain functions of several
// packages call Main. Only tests import this package.
package leaktest

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// closeTimeout limits the wait for descriptors that are closed in the background after a test. They are closed at once unless
// they are leaked.
const closeTimeout = 10 * time.Second

// Main runs the tests and exits the process. If the tests pass, the exit code is 1 if they leaked a descriptor, or a goroutine
// that the options do not exclude.
func Main(m *testing.M, options ...goleak.Option) {
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // makes the runtime open its own descriptors before the count
		l.Close()
	}
	before := countDescriptors()
	code := m.Run()
	if code == 0 {
		if err := findLeaks(before, closeTimeout, options); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// descriptorLeakError reports that tests left descriptors open.
type descriptorLeakError struct{ open, expected int }

func (e descriptorLeakError) Error() string {
	return fmt.Sprintf("%d descriptors are open, expected the %d before the tests", e.open, e.expected)
}

// findLeaks returns an error if a goroutine is leaked, or if more descriptors than before are still open after the timeout.
func findLeaks(before int, timeout time.Duration, options []goleak.Option) error {
	if err := goleak.Find(options...); err != nil {
		return err
	}
	for deadline := time.Now().Add(timeout); countDescriptors() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return descriptorLeakError{countDescriptors(), before}
		}
	}
	return nil
}

// countDescriptors returns the number of open file descriptors; 0 on systems without /proc/self/fd.
func countDescriptors() int {
	names, _ := os.ReadDir("/proc/self/fd")
	return len(names)
}
