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
	c.concurrency = nil // these tests make calls without a link, so they do not hold the semaphore
	return c, newRPCClient(c.HTTPClient(), address, "i-1", func() bool { return true })
}

func TestConnectionClosedByPeerIsReplaced(t *testing.T) {
	convey.Convey("An idle connection that the worker has closed is replaced before a call is sent on it", t, func() {
		closed := make(chan struct{}, 1)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"clockMs":1}`) }))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		}
		server.Start()
		defer server.Close()
		connections, rpc := newBudgetedRPCClient(server.Listener.Addr().String())
		defer connections.closeAllIdle()
		for range 3 {
			response, err := rpc.post(context.Background(), rpc.renewal, []byte(`{}`), eventTimeout)
			convey.So(err, convey.ShouldBeNil)
			convey.So(response.status, convey.ShouldEqual, http.StatusOK)
			convey.So(connections.Usage().Open, convey.ShouldEqual, 1)
			server.CloseClientConnections()
			<-closed
		}
	})
}

// trailingBytesServer sends a second response after the response to each call, and counts its connections.
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
	convey.Convey("Data after a response is not read as the response to the next call", t, func() {
		address, accepted := trailingBytesServer(t)
		connections, rpc := newBudgetedRPCClient(address)
		defer connections.closeAllIdle()
		for range 3 {
			response, err := rpc.post(context.Background(), rpc.start, []byte(`{}`), eventTimeout)
			convey.So(err, convey.ShouldBeNil)
			convey.So(response.status, convey.ShouldEqual, http.StatusOK)
		}
		convey.So(accepted.Load(), convey.ShouldEqual, 3)
	})
}

func TestCancelledCallMayHaveExecuted(t *testing.T) {
	convey.Convey("A call that is cancelled after it was sent may have executed, and its connection is not reused", t, func() {
		arrived, release := make(chan struct{}, 1), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, _ *http.Request) { arrived <- struct{}{}; <-release }))
		defer server.Close()
		defer close(release)
		connections, rpc := newBudgetedRPCClient(server.Listener.Addr().String())
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() {
			_, err := rpc.post(ctx, rpc.start, []byte(`{}`), eventTimeout)
			failed <- err
		}()
		<-arrived
		cancel()
		err := <-failed
		convey.So(err, convey.ShouldWrap, context.Canceled)
		convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.MayHaveExecuted)
		convey.So(connections.Usage().Open, convey.ShouldBeZeroValue)
	})
	convey.Convey("A call that could not connect was not executed", t, func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		listener.Close()
		connections, rpc := newBudgetedRPCClient(listener.Addr().String())
		_, err = rpc.post(context.Background(), rpc.start, []byte(`{}`), eventTimeout)
		convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.NotExecuted)
		convey.So(connections.Usage().Open, convey.ShouldBeZeroValue)
	})
}

func TestLongPollsDoNotHoldTheSemaphore(t *testing.T) {
	const workers = 40
	convey.Convey("Long polls do not hold the semaphore", t, func() {
		f := newBudgetFixture(t, workers, Limits{Connections: 2 * workers, DialsPerSecond: math.Inf(1), PollsPerSecond: 1000, MaxLongPolls: workers})
		defer f.shutdown()
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
