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
	dialTimeout      = 800 * time.Millisecond
	unackedTimeoutMS = 1500 // until unacknowledged bytes close a connection, in the option's unit
	tcpUserTimeout   = 18   // TCP_USER_TIMEOUT on Linux, which package syscall lacks
	keepAlivePeriod  = time.Second
)

// NewDialer makes a dialer whose connections are closed by the system soon after the peer stops to acknowledge bytes.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeoutMS)
		})
		return errors.Join(err, failed)
	}}
}

// DialFunc returns a function for http.Transport.DialContext whose connections a SendTracker can follow. A connection is reset
// when it is closed, so that bytes in its send buffer do not arrive later.
func DialFunc(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcpConn, ok := connection.(*net.TCPConn); ok {
			tcpConn.SetLinger(0) // without the option, a close sends what is left in the buffer
		}
		return &writeCountingConn{Conn: connection}, nil
	}
}

// writeCountingConn counts the calls of Write that sent bytes, or may be sending some at this moment.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. A call counts before it begins, and no more once it has failed without a byte: where the count
// has not changed when the connection is closed, no byte will ever be sent.
func (c *writeCountingConn) Write(content []byte) (int, error) {
	c.writes.Add(1)
	sent, err := c.Conn.Write(content)
	if sent == 0 && err != nil {
		c.writes.Add(-1)
	}
	return sent, err
}

var errNoSystemConnection = errors.New("not a connection of the system")

// SyscallConn implements syscall.Conn.
func (c *writeCountingConn) SyscallConn() (syscall.RawConn, error) {
	if syscallConn, ok := c.Conn.(syscall.Conn); ok {
		return syscallConn.SyscallConn()
	}
	return nil, errNoSystemConnection
}
