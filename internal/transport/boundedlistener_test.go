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

// boundedServer serves on a loopback address; calls of /wait are answered once the channel is closed.
func boundedServer(t *testing.T, most int, reserved ...string) (inbound *transport.BoundedListener, waiting chan struct{}, letGo chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	waiting, letGo = make(chan struct{}, most), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/wait", func(http.ResponseWriter, *http.Request) { waiting <- struct{}{}; <-letGo })
	inbound = transport.NewBoundedListener(listener, most)
	inbound.Reserve(len(reserved), func(host string) bool { return slices.Contains(reserved, host) })
	server := &http.Server{Handler: mux, ConnState: inbound.ConnState}
	served := make(chan struct{})
	go func() { server.Serve(inbound); close(served) }()
	t.Cleanup(func() { server.Close(); <-served })
	return inbound, waiting, letGo
}

// callOn sends a request on a connection and tells whether it was answered.
func callOn(t *testing.T, connection net.Conn, path string) error {
	t.Helper()
	connection.SetDeadline(time.Now().Add(listenerTimeout))
	if _, err := io.WriteString(connection, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	const response = "HTTP/1.1 200 OK\r\n"
	_, err := io.ReadFull(connection, make([]byte, len(response)))
	return err
}

// dialOne opens a connection.
func dialOne(t *testing.T, address string) net.Conn {
	t.Helper()
	return dialFrom(t, "127.0.0.1", address)
}

// dialFrom opens a connection from a host.
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

func TestBoundedListener(t *testing.T) {
	convey.Convey("A server that is limited to three connections", t, func() {
		inbound, waiting, letGo := boundedServer(t, 3)
		address := inbound.Addr().String()
		convey.Convey("closes the one that has been idle for longest for a new one", func() {
			oldest := dialOne(t, address)
			convey.So(callOn(t, oldest, "/"), convey.ShouldBeNil)
			for range 5 {
				convey.So(callOn(t, dialOne(t, address), "/"), convey.ShouldBeNil)
				convey.So(inbound.Open(), convey.ShouldBeLessThanOrEqualTo, 3)
			}
			oldest.SetDeadline(time.Now().Add(listenerTimeout))
			_, err := io.Copy(io.Discard, oldest)
			convey.So(err, convey.ShouldBeNil) // its end
		})
		convey.Convey("lets a new one wait while none is idle", func() {
			answered := make(chan error, 3)
			for range 3 {
				connection := dialOne(t, address)
				go func() { answered <- callOn(t, connection, "/wait") }()
				<-waiting
			}
			late := make(chan error, 1)
			connection := dialOne(t, address) // into the listener's queue
			go func() { late <- callOn(t, connection, "/") }()
			convey.So(inbound.Open(), convey.ShouldEqual, 3)
			close(letGo)
			for range 3 {
				convey.So(<-answered, convey.ShouldBeNil)
			}
			convey.So(<-late, convey.ShouldBeNil)
			convey.So(inbound.Open(), convey.ShouldBeLessThanOrEqualTo, 3)
		})
	})
}

// Callers for whom nothing is reserved fill the rest with calls that last: those for whom a part is reserved are answered all the same.
func TestReservedConnections(t *testing.T) {
	const peer, otherPeer = "127.0.0.2", "127.0.0.3"
	convey.Convey("A server of four connections, of which two are reserved for two hosts", t, func() {
		inbound, waiting, letGo := boundedServer(t, 4, peer, otherPeer)
		address := inbound.Addr().String()
		answered := make(chan error, 2)
		for range cap(answered) {
			connection := dialOne(t, address)
			go func() { answered <- callOn(t, connection, "/wait") }()
			<-waiting
		}
		convey.Convey("a further caller of the others is turned away", func() {
			convey.So(callOn(t, dialOne(t, address), "/"), convey.ShouldNotBeNil)
			convey.So(inbound.Open(), convey.ShouldEqual, 2)
			close(letGo)
		})
		convey.Convey("the hosts are answered, also once others were turned away", func() {
			for range 3 {
				dialOne(t, address)
				convey.So(callOn(t, dialFrom(t, peer, address), "/"), convey.ShouldBeNil)
				convey.So(callOn(t, dialFrom(t, otherPeer, address), "/"), convey.ShouldBeNil)
			}
			convey.So(inbound.Open(), convey.ShouldBeLessThanOrEqualTo, 4)
			close(letGo)
		})
		convey.Convey("once calls have ended, their idle connections make room for others, and the hosts' stay", func() {
			kept := dialFrom(t, peer, address)
			convey.So(callOn(t, kept, "/"), convey.ShouldBeNil)
			close(letGo)
			for range cap(answered) {
				convey.So(<-answered, convey.ShouldBeNil)
			}
			for range 4 {
				callUntilAnswered(t, address)
			}
			convey.So(callOn(t, kept, "/"), convey.ShouldBeNil)
		})
	})
}

// callUntilAnswered opens connections until a call is answered: a connection counts as idle a little after its last answer.
func callUntilAnswered(t *testing.T, address string) {
	t.Helper()
	for limit := time.Now().Add(listenerTimeout); callOn(t, dialOne(t, address), "/") != nil; {
		if time.Now().After(limit) {
			t.Fatal("no call is answered")
		}
	}
}
