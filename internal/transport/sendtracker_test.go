package transport_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

// resettingServer resets each connection after reading its second request. It counts the requests that it has read.
type resettingServer struct{ requestsRead atomic.Int64 }

func (s *resettingServer) start(t *testing.T) (address string) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		s.requestsRead.Add(1)
		requestsOnConnection := r.Context().Value(requestCountKey{}).(*atomic.Int64)
		if requestsOnConnection.Add(1) == 2 {
			connection, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			}
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, requestCountKey{}, new(atomic.Int64))
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// requestCountKey is the context key of the number of requests on a connection.
type requestCountKey struct{}

func TestNetHTTPDoesNotRetryTrackedRequests(t *testing.T) {
	body := []byte("body")
	// Package net/http retries these two kinds of requests by itself when a reused connection breaks without a response.
	kinds := map[string]func(*http.Request){
		"with an idempotency key": func(r *http.Request) { r.Header.Set("Idempotency-Key", "1") },
		"by an idempotent method": func(r *http.Request) { r.Method = http.MethodOptions },
	}
	send := func(client *http.Transport, address string, change func(*http.Request), tracked bool) error {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
		So(err, ShouldBeNil)
		change(request)
		var tracker transport.SendTracker
		if tracked {
			request = request.WithContext(tracker.WithTrace(request.Context()))
			request.GetBody = tracker.GetBody(body)
		}
		response, err := client.RoundTrip(request)
		if err != nil {
			So(!tracked || !tracker.NothingSent(), ShouldBeTrue)
			return err
		}
		io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	for name, change := range kinds {
		Convey("Given a reused connection that breaks after a request "+name, t, func() {
			var server resettingServer
			address := server.start(t)
			client := &http.Transport{DialContext: transport.DialFunc(transport.NewDialer())}
			defer client.CloseIdleConnections()
			So(send(client, address, change, true), ShouldBeNil)
			Convey("net/http retries it", func() {
				So(send(client, address, change, false), ShouldBeNil)
				So(server.requestsRead.Load(), ShouldEqual, 3)
			})
			Convey("net/http does not retry it with a SendTracker", func() {
				So(send(client, address, change, true), ShouldNotBeNil)
				So(server.requestsRead.Load(), ShouldEqual, 2)
			})
		})
	}
}

func TestACallOnABrokenConnectionIsNotRetried(t *testing.T) {
	Convey("Given a callee that closes the connection of each second call after its execution", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		var calls atomic.Int64
		client, address := startServerAndClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			process.ServeHTTP(w, r)
			if calls.Add(1)%2 == 0 {
				panic(http.ErrAbortHandler) // closes the connection while the response is still in the server's buffer
			}
		}))
		idempotent := transport.NewIdempotent[echo, echo](countCall.Path())
		Convey("a call is executed once and reported as possibly executed", func() {
			for pair := range int64(4) {
				_, err := idempotent.Call(t.Context(), client, address, echo{})
				So(err, ShouldBeNil)
				_, err = idempotent.Call(t.Context(), client, address, echo{})
				So(err, ShouldNotBeNil)
				So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
				So(process.executions.Load(), ShouldEqual, 2*pair+2)
			}
		})
	})
}

func TestUnsentCallsAreNotExecuted(t *testing.T) {
	Convey("A call that is cancelled while it waits for a connection is not executed", t, func() {
		client := transport.NewClientFor(testCluster)
		defer client.Close()
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(errors.New("a newer leader is known"))
		_, err := echoCall.Call(ctx, client, "127.0.0.1:1", sample)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
	Convey("A call that is cancelled at any time is not reported as not executed if it was executed", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		client, address := startServerAndClient(t, process)
		idempotent := transport.NewIdempotent[echo, echo](countCall.Path())
		notExecuted := int64(0)
		const calls = 400
		for i := range calls {
			ctx, cancel := context.WithCancel(t.Context())
			stop := time.AfterFunc(time.Duration(i)*time.Microsecond, cancel)
			_, err := idempotent.Call(ctx, client, address, echo{})
			if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted && err != nil {
				notExecuted++
			}
			stop.Stop()
			cancel()
		}
		lastClient := transport.NewClientFor(testCluster) // for a last call, after which all others have been received
		defer lastClient.Close()
		_, err := idempotent.Call(t.Context(), lastClient, address, echo{})
		So(err, ShouldBeNil)
		So(process.executions.Load(), ShouldBeLessThanOrEqualTo, calls+1-notExecuted)
	})
}
