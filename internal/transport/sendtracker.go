package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	dialTimeout     = 800 * time.Millisecond
	unackedTimeout  = 1500 // milliseconds until unacknowledged bytes end a connection (TCP_USER_TIMEOUT)
	tcpUserTimeout  = 18   // the option's number on Linux
	keepAlivePeriod = time.Second
)

// NewDialer makes connections that end soon after the peer has fallen silent.
func NewDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod, Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(descriptor uintptr) {
			failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, unackedTimeout)
		})
		return errors.Join(err, failed)
	}}
}

// DialFunc makes connections for an http.Transport whose requests a Sending watches. A connection that is given up is reset,
// so that nothing it still holds arrives later.
func DialFunc(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcpConn, ok := connection.(*net.TCPConn); ok {
			tcpConn.SetLinger(0) // where the system knows no such option, the close sends what is left
		}
		return &writeCountingConn{Conn: connection}, nil
	}
}

// writeCountingConn counts the writings that left it, or may be leaving it at this moment.
type writeCountingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write implements net.Conn. The writing counts before it begins: one that is seen not to count while the connection is
// closed will never send a byte.
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

// SendTracker watches one request on its way through net/http. That package repeats some requests by itself when a connection
// that was used before turns out to be broken; a Sending lets it do so only where not one byte of the request has been
// handed to that connection, whatever the request's method and headers are.
type SendTracker struct {
	mutex         sync.Mutex
	sentElsewhere bool               // an earlier connection, or one that cannot be watched, was handed bytes
	connection    *writeCountingConn // the newest
	writesBefore  int64              // its writings before the request
}

// WithTrace returns a context for the request.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.GotConn})
}

// GotConn notes the connection that the request goes out on. It is for callers with a trace of their own, who need no Watch:
// net/http joins two traces of one request by reflection.
func (s *SendTracker) GotConn(got httptrace.GotConnInfo) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sentElsewhere = s.mayHaveSent()
	countingConn, ok := got.Conn.(*writeCountingConn)
	if !ok {
		s.sentElsewhere = true
		return
	}
	s.connection, s.writesBefore = countingConn, countingConn.writes.Load()
}

// mayHaveSent is called with the mutex held.
func (s *SendTracker) mayHaveSent() bool {
	return s.sentElsewhere || s.connection != nil && s.connection.writes.Load() != s.writesBefore
}

// NothingSent tells, once the request has failed, that no byte of it was or will be sent.
func (s *SendTracker) NothingSent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.mayHaveSent()
}

// errAlreadySent keeps net/http from sending a request again.
var errAlreadySent = errors.New("the request may have been sent already")

// GetBody returns a value for http.Request.GetBody: the body is given again only while the request is unsent.
func (s *SendTracker) GetBody(body []byte) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) {
		if !s.NothingSent() {
			return nil, errAlreadySent
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
}
