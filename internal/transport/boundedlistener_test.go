package transport_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/transport"
)

const listenerTimeout = 20 * time.Second

// boundedServer is a server with a BoundedListener on a loopback address.
type boundedServer struct {
	*transport.BoundedListener
	started chan struct{} // receives each request to /wait, which then blocks
	release chan struct{} // closed to answer the requests to /wait
	idle    chan struct{} // receives each time that the listener has noted a connection as idle
}

const idleNotices = 100 // more than any test causes

func startBoundedServer(t *testing.T, limit int, reserved ...string) *boundedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	bounded := &boundedServer{
		BoundedListener: transport.NewBoundedListener(listener, limit),
		started:         make(chan struct{}, limit), release: make(chan struct{}), idle: make(chan struct{}, idleNotices),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { bounded.started <- struct{}{}; <-bounded.release })
	bounded.Reserve(len(reserved), func(host string) bool { return slices.Contains(reserved, host) })
	server := &http.Server{Handler: mux, ConnState: func(connection net.Conn, state http.ConnState) {
		bounded.ConnState(connection, state)
		if state == http.StateIdle {
			bounded.idle <- struct{}{}
		}
	}}
	served := make(chan struct{})
	go func() { server.Serve(bounded); close(served) }()
	t.Cleanup(func() { server.Close(); <-served })
	return bounded
}

// requestAndBecomeIdle sends a request on a connection, and waits for the response and until the listener has noted the connection as
// idle, which it does after the response has been sent.
func (s *boundedServer) requestAndBecomeIdle(t *testing.T, connection net.Conn) error {
	t.Helper()
	if err := sendRequestOn(t, connection, "/"); err != nil {
		return err
	}
	select {
	case <-s.idle:
		return nil
	case <-time.After(listenerTimeout):
		return errNotIdle
	}
}

var errNotIdle = errors.New("the connection did not become idle")

// sendRequestOn sends a request on a connection. It returns an error if there is no response.
func sendRequestOn(t *testing.T, connection net.Conn, path string) error {
	t.Helper()
	connection.SetDeadline(time.Now().Add(listenerTimeout))
	if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	const response = "HTTP/1.1 200 OK\r\n"
	_, err := io.ReadFull(connection, make([]byte, len(response)))
	return err
}

// dialFromLoopback opens a connection from 127.0.0.1.
func dialFromLoopback(t *testing.T, address string) net.Conn {
	t.Helper()
	return dialFrom(t, "127.0.0.1", address)
}

// dialFrom opens a connection from the local address host.
func dialFrom(t *testing.T, host, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Timeout: listenerTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}
	connection, err := dialer.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	return connection
}

func TestBoundedListenerLimitsOpenConnections(t *testing.T) {
	convey.Convey("A server with a limit of three connections", t, func() {
		bounded := startBoundedServer(t, 3)
		address := bounded.Addr().String()
		convey.Convey("closes the least recently used idle connection for a new one", func() {
			oldest := dialFromLoopback(t, address)
			convey.So(bounded.requestAndBecomeIdle(t, oldest), convey.ShouldBeNil)
			for range 5 {
				convey.So(bounded.requestAndBecomeIdle(t, dialFromLoopback(t, address)), convey.ShouldBeNil)
				convey.So(bounded.OpenConnections(), convey.ShouldBeLessThanOrEqualTo, 3)
			}
			oldest.SetDeadline(time.Now().Add(listenerTimeout))
			_, err := io.Copy(io.Discard, oldest)
			convey.So(err, convey.ShouldBeNil) // the server closed the connection
		})
		convey.Convey("makes a new connection wait while none is idle", func() {
			results := make(chan error, 3)
			for range 3 {
				connection := dialFromLoopback(t, address)
				go func() { results <- sendRequestOn(t, connection, "/wait") }()
				<-bounded.started
			}
			waitingResult := make(chan error, 1)
			connection := dialFromLoopback(t, address) // waits in the listen queue
			go func() { waitingResult <- sendRequestOn(t, connection, "/") }()
			convey.So(bounded.OpenConnections(), convey.ShouldEqual, 3)
			close(bounded.release)
			for range 3 {
				convey.So(<-results, convey.ShouldBeNil)
			}
			convey.So(<-waitingResult, convey.ShouldBeNil)
			convey.So(bounded.OpenConnections(), convey.ShouldBeLessThanOrEqualTo, 3)
		})
	})
}

// Guards against a host that cannot connect to its reserved connections because other hosts have used up the limit. The other
// hosts occupy the rest of the limit with long calls.
func TestReservedConnectionsAreNotUsedByOtherHosts(t *testing.T) {
	const (
		peer      = "127.0.0.2"
		otherPeer = "127.0.0.3"
	)
	convey.Convey("A server with a limit of four connections, two of which are reserved for two hosts", t, func() {
		bounded := startBoundedServer(t, 4, peer, otherPeer)
		address := bounded.Addr().String()
		results := make(chan error, 2)
		for range cap(results) {
			connection := dialFromLoopback(t, address)
			go func() { results <- sendRequestOn(t, connection, "/wait") }()
			<-bounded.started
		}
		convey.Convey("closes a further connection from another host", func() {
			convey.So(sendRequestOn(t, dialFromLoopback(t, address), "/"), convey.ShouldNotBeNil)
			convey.So(bounded.OpenConnections(), convey.ShouldEqual, 2)
			close(bounded.release)
		})
		convey.Convey("serves the two hosts, also after it closed connections from other hosts", func() {
			for range 3 {
				dialFromLoopback(t, address)
				convey.So(sendRequestOn(t, dialFrom(t, peer, address), "/"), convey.ShouldBeNil)
				convey.So(sendRequestOn(t, dialFrom(t, otherPeer, address), "/"), convey.ShouldBeNil)
			}
			convey.So(bounded.OpenConnections(), convey.ShouldBeLessThanOrEqualTo, 4)
			close(bounded.release)
		})
		convey.Convey("closes idle connections of other hosts, but not of the two hosts, for new ones from other hosts", func() {
			reserved := dialFrom(t, peer, address)
			convey.So(sendRequestOn(t, reserved, "/"), convey.ShouldBeNil)
			close(bounded.release)
			for range cap(results) {
				convey.So(<-results, convey.ShouldBeNil)
			}
			for range 4 {
				requestUntilResponse(t, address)
			}
			convey.So(sendRequestOn(t, reserved, "/"), convey.ShouldBeNil)
		})
	})
}

// requestUntilResponse opens connections until a request gets a response. Retries are needed because the server marks a
// connection as idle shortly after its last response.
func requestUntilResponse(t *testing.T, address string) {
	t.Helper()
	for deadline := time.Now().Add(listenerTimeout); sendRequestOn(t, dialFromLoopback(t, address), "/") != nil; {
		if time.Now().After(deadline) {
			t.Fatal("no request got a response in time")
		}
	}
}
