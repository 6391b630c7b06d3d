// Package leaktest ends a package's tests by what they have left: goroutines and descriptors. Only tests import it; it is a package of its
// own as those of several packages do.
package leaktest

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// closeTimeout bounds the wait for what closes behind a test, which does at once unless it is leaked.
const closeTimeout = 10 * time.Second

// Main runs tests. Where they pass it fails if a goroutine is left, but for those that the options name, or a descriptor.
func Main(m *testing.M, options ...goleak.Option) {
	if l, err := net.Listen("tcp", "127.0.0.1:0"); err == nil { // what the runtime itself opens for sockets is there from now on
		l.Close()
	}
	before := descriptors()
	code := m.Run()
	if code == 0 {
		if err := findLeaks(before, closeTimeout, options); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// descriptorLeakError says that tests have left descriptors open.
type descriptorLeakError struct{ open, before int }

func (e descriptorLeakError) Error() string {
	return fmt.Sprintf("%d descriptors are open, expected the %d before the tests", e.open, e.before)
}

func findLeaks(before int, patience time.Duration, options []goleak.Option) error {
	if err := goleak.Find(options...); err != nil {
		return err
	}
	for late := time.Now().Add(patience); descriptors() > before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(late) {
			return descriptorLeakError{descriptors(), before}
		}
	}
	return nil
}

// descriptors counts those that are open; 0 where the system does not list them.
func descriptors() int {
	names, _ := os.ReadDir("/proc/self/fd")
	return len(names)
}
