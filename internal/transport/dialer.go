package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout = 800 * time.Millisecond
	// unacknowledgedTimeoutMS is the time in milliseconds after which unacknowledged bytes close a connection. Milliseconds are
	// the unit of TCP_USER_TIMEOUT.
	unacknowledgedTimeoutMS = 1500
	// tcpUserTimeoutOption is the number of TCP_USER_TIMEOUT on Linux, which package syscall doesn't define.
	tcpUserTimeoutOption = 18
	keepAlivePeriod      = time.Second
)

// NewDialer returns a dialer. The operating system closes its connections soon after the peer stops acknowledging bytes.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeoutOption, unacknowledgedTimeoutMS)
		})
		return errors.Join(err, optionErr)
	}}
}

// DialFunc returns a function for http.Transport.DialContext. Its connections count their writes for a SendTracker. Closing one
// resets it, so that bytes in its send buffer do not arrive later.
func DialFunc(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcpConn, ok := connection.(*net.TCPConn); ok {
			tcpConn.SetLinger(0) // otherwise the operating system sends the rest of the send buffer after Close
		}
		return &writeCountingConn{Conn: connection}, nil
	}
}

// writeCountingConn counts the calls of Write that have sent bytes or may be sending bytes.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. It increments the count before it writes, and decrements it if the write fails without sending a
// byte. So if the count is unchanged when the connection is closed, no byte was sent and none will be.
func (c *writeCountingConn) Write(content []byte) (int, error) {
	c.writes.Add(1)
	sent, err := c.Conn.Write(content)
	if sent == 0 && err != nil {
		c.writes.Add(-1)
	}
	return sent, err
}

var errNoSyscallConn = errors.New("the connection does not implement syscall.Conn")

// SyscallConn implements syscall.Conn.
func (c *writeCountingConn) SyscallConn() (syscall.RawConn, error) {
	if syscallConn, ok := c.Conn.(syscall.Conn); ok {
		return syscallConn.SyscallConn()
	}
	return nil, errNoSyscallConn
}
