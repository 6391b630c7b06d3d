package transport_test

import (
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

// startBoundedServer starts a server with a BoundedListener on a loopback address. Each request to /wait sends to started and
// blocks until release is closed.
func startBoundedServer(t *testing.T, limit int, reserved ...string) (bounded *transport.BoundedListener, started chan struct{}, release chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	started, release = make(chan struct{}, limit), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { started <- struct{}{}; <-release })
	bounded = transport.NewBoundedListener(listener, limit)
	bounded.Reserve(len(reserved), func(host string) bool { return slices.Contains(reserved, host) })
	server := &http.Server{Handler: mux, ConnState: bounded.ConnState}
	served := make(chan struct{})
	go func() { server.Serve(bounded); close(served) }()
	t.Cleanup(func() { server.Close(); <-served })
	return bounded, started, release
}

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
		bounded, started, release := startBoundedServer(t, 3)
		address := bounded.Addr().String()
		convey.Convey("closes the least recently used idle connection for a new one", func() {
			oldest := dialFromLoopback(t, address)
			convey.So(sendRequestOn(t, oldest, "/"), convey.ShouldBeNil)
			for range 5 {
				convey.So(sendRequestOn(t, dialFromLoopback(t, address), "/"), convey.ShouldBeNil)
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
				<-started
			}
			waitingResult := make(chan error, 1)
			connection := dialFromLoopback(t, address) // waits in the listen queue
			go func() { waitingResult <- sendRequestOn(t, connection, "/") }()
			convey.So(bounded.OpenConnections(), convey.ShouldEqual, 3)
			close(release)
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
		bounded, started, release := startBoundedServer(t, 4, peer, otherPeer)
		address := bounded.Addr().String()
		results := make(chan error, 2)
		for range cap(results) {
			connection := dialFromLoopback(t, address)
			go func() { results <- sendRequestOn(t, connection, "/wait") }()
			<-started
		}
		convey.Convey("closes a further connection from another host", func() {
			convey.So(sendRequestOn(t, dialFromLoopback(t, address), "/"), convey.ShouldNotBeNil)
			convey.So(bounded.OpenConnections(), convey.ShouldEqual, 2)
			close(release)
		})
		convey.Convey("serves the two hosts, also after it closed connections from other hosts", func() {
			for range 3 {
				dialFromLoopback(t, address)
				convey.So(sendRequestOn(t, dialFrom(t, peer, address), "/"), convey.ShouldBeNil)
				convey.So(sendRequestOn(t, dialFrom(t, otherPeer, address), "/"), convey.ShouldBeNil)
			}
			convey.So(bounded.OpenConnections(), convey.ShouldBeLessThanOrEqualTo, 4)
			close(release)
		})
		convey.Convey("closes idle connections of other hosts, but not of the two hosts, for new ones from other hosts", func() {
			reserved := dialFrom(t, peer, address)
			convey.So(sendRequestOn(t, reserved, "/"), convey.ShouldBeNil)
			close(release)
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
