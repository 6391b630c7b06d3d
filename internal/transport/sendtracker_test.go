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

// resettingServer resets each connection when its second request has been read. It counts the requests that were read.
type resettingServer struct{ read atomic.Int64 }

func (b *resettingServer) serve(t *testing.T) (address string) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		b.read.Add(1)
		served := r.Context().Value(servedKey{}).(*atomic.Int64)
		if served.Add(1) == 2 {
			connection, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				connection.(*net.TCPConn).SetLinger(0)
				connection.Close()
			}
		}
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, servedKey{}, new(atomic.Int64))
	}
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

type servedKey struct{}

func TestNetHTTPDoesNotRetryTrackedRequests(t *testing.T) {
	body := []byte("body")
	// The two kinds of request that net/http retries on its own when a reused connection breaks without a response.
	kinds := map[string]func(*http.Request){
		"with an idempotency key": func(r *http.Request) { r.Header.Set("Idempotency-Key", "1") },
		"by an idempotent method": func(r *http.Request) { r.Method = http.MethodOptions },
	}
	send := func(client *http.Transport, address string, change func(*http.Request), guarded bool) error {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(body))
		So(err, ShouldBeNil)
		change(request)
		var tracker transport.SendTracker
		if guarded {
			request = request.WithContext(tracker.WithTrace(request.Context()))
			request.GetBody = tracker.GetBody(body)
		}
		response, err := client.RoundTrip(request)
		if err != nil {
			So(!guarded || !tracker.NothingSent(), ShouldBeTrue)
			return err
		}
		io.Copy(io.Discard, response.Body)
		return response.Body.Close()
	}
	for name, change := range kinds {
		Convey("Given a reused connection that breaks after a request "+name, t, func() {
			var broken resettingServer
			address := broken.serve(t)
			client := &http.Transport{DialContext: transport.DialFunc(transport.NewDialer())}
			defer client.CloseIdleConnections()
			So(send(client, address, change, true), ShouldBeNil)
			Convey("net/http retries it", func() {
				So(send(client, address, change, false), ShouldBeNil)
				So(broken.read.Load(), ShouldEqual, 3)
			})
			Convey("but not while a SendTracker follows it", func() {
				So(send(client, address, change, true), ShouldNotBeNil)
				So(broken.read.Load(), ShouldEqual, 2)
			})
		})
	}
}

func TestACallOnABrokenConnectionIsNotRetried(t *testing.T) {
	Convey("Given a callee that breaks the connection of each second call after its execution", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		var calls atomic.Int64
		client, address := serveAndDial(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			process.ServeHTTP(w, r)
			if calls.Add(1)%2 == 0 {
				panic(http.ErrAbortHandler) // the answer is still in the server's buffer
			}
		}))
		repeatable := transport.NewIdempotent[echo, echo](countCall.Path())
		Convey("a call is executed once, and reported as maybe executed", func() {
			for pair := range int64(4) {
				_, err := repeatable.Call(t.Context(), client, address, echo{})
				So(err, ShouldBeNil)
				_, err = repeatable.Call(t.Context(), client, address, echo{})
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
	Convey("A call that is cancelled at any moment is not reported as not executed if it was", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		client, address := serveAndDial(t, process)
		repeatable := transport.NewIdempotent[echo, echo](countCall.Path())
		notExecuted := int64(0)
		const calls = 400
		for i := range calls {
			ctx, cancel := context.WithCancel(t.Context())
			stop := time.AfterFunc(time.Duration(i)*time.Microsecond, cancel)
			_, err := repeatable.Call(ctx, client, address, echo{})
			if rpcerror.ExecutionOf(err) == rpcerror.NotExecuted && err != nil {
				notExecuted++
			}
			stop.Stop()
			cancel()
		}
		server := transport.NewClientFor(testCluster) // a last call, after which all others have been received
		defer server.Close()
		_, err := repeatable.Call(t.Context(), server, address, echo{})
		So(err, ShouldBeNil)
		So(process.executions.Load(), ShouldBeLessThanOrEqualTo, calls+1-notExecuted)
	})
}
