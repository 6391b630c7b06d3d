package workerclient

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

func newBudgetedRPCClient(address string) (*Connections, *rpcClient) {
	c := NewConnections(Limits{Connections: 2, DialsPerSecond: math.Inf(1)})
	c.concurrency = nil // the calls of these tests come from outside of a link
	return c, newRPCClient(c.HTTPClient(), address, "i-1", func() bool { return true })
}

func TestConnectionClosedByPeerIsReplaced(t *testing.T) {
	convey.Convey("A connection that the worker closed while it was idle is replaced before a call is sent on it", t, func() {
		closed := make(chan struct{}, 1)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"clockMs":1}`) }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		}
		server.Start()
		defer server.Close()
		connections, caller := newBudgetedRPCClient(server.Listener.Addr().String())
		defer connections.closeAllIdle()
		for range 3 {
			a, err := caller.post(context.Background(), caller.renewal, []byte(`{}`), eventTimeout)
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
			convey.So(connections.Usage().Open, convey.ShouldEqual, 1)
			server.CloseClientConnections()
			<-closed
		}
	})
}

// trailingBytesServer answers each call with more than its length announces, and counts its connections.
func trailingBytesServer(t *testing.T) (address string, accepted *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	accepted = new(atomic.Int64)
	served := make(chan struct{})
	go func() {
		defer close(served)
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go respondWithTrailingBytes(connection)
		}
	}()
	t.Cleanup(func() { listener.Close(); <-served })
	return listener.Addr().String(), accepted
}

func respondWithTrailingBytes(connection net.Conn) {
	const unsolicitedResponse = "HTTP/1.1 409 Conflict\r\nContent-Length: 18\r\n\r\n{\"reason\":\"fence\"}"
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"+unsolicitedResponse)
	}
}

func TestUnsolicitedResponseIsDiscarded(t *testing.T) {
	convey.Convey("What follows a response is not taken for that of the next call", t, func() {
		address, accepted := trailingBytesServer(t)
		connections, caller := newBudgetedRPCClient(address)
		defer connections.closeAllIdle()
		for range 3 {
			a, err := caller.post(context.Background(), caller.start, []byte(`{}`), eventTimeout)
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.status, convey.ShouldEqual, http.StatusOK)
		}
		convey.So(accepted.Load(), convey.ShouldEqual, 3)
	})
}

func TestCancelledCallMayHaveExecuted(t *testing.T) {
	convey.Convey("A call that is cancelled after it was sent is unclear, and its connection is not used again", t, func() {
		arrived, release := make(chan struct{}, 1), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { arrived <- struct{}{}; <-release }))
		defer server.Close()
		defer close(release)
		connections, caller := newBudgetedRPCClient(server.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := caller.post(ctx, caller.start, []byte(`{}`), eventTimeout)
			failed <- err
		}()
		<-arrived
		cancel()
		err := <-failed
		convey.So(err, convey.ShouldWrap, context.Canceled)
		convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.MayHaveExecuted)
		convey.So(connections.Usage().Open, convey.ShouldBeZeroValue)
	})
	convey.Convey("One that could not connect was not executed", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		listener.Close()
		connections, caller := newBudgetedRPCClient(listener.Addr().String())
		_, err = caller.post(context.Background(), caller.start, []byte(`{}`), eventTimeout)
		convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
		convey.So(connections.Usage().Open, convey.ShouldBeZeroValue)
	})
}

func TestLongPollsDoNotHoldTheSemaphore(t *testing.T) {
	const workers = 40
	convey.Convey("Long polls do not hold a place of the semaphore", t, func() {
		f := newBudgetFixture(t, workers, Limits{Connections: 2 * workers, DialsPerSecond: math.Inf(1), PollsPerSecond: 1000, MaxLongPolls: workers})
		defer f.close()
		convey.So(cap(f.connections.concurrency), convey.ShouldBeLessThan, workers)
		limit := time.After(eventTimeout)
		for f.connections.Usage().LongPolls < workers {
			select {
			case <-limit:
				t.Fatalf("%+v", f.connections.Usage())
			default:
				awaitEventAfter(t, f.events, len(eventsOf[Listing](f.events)), anyEvent[Listing])
			}
		}
	})
}
