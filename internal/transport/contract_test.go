package transport_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

const retryAfter = 250 * time.Millisecond

// Endpoints of the tests: one for each outcome of a call, and one without a handler.
var (
	echoCall    = transport.NewIdempotent[echo, echo]("/echo")
	rejectCall  = transport.NewIdempotent[echo, echo]("/reject")
	failCall    = transport.NewIdempotent[echo, echo]("/fail")
	hangCall    = transport.NewIdempotent[echo, echo]("/hang")
	unknownCall = transport.NewIdempotent[echo, echo]("/unknown")
	countCall   = transport.NewAtMostOnce[echo, echo]("/count")
)

type echo struct {
	Text   string            `msgpack:"t"`
	Number uint64            `msgpack:"n"`
	State  map[string][]byte `msgpack:"s"`
}

// testCluster is a cluster name with characters that must be escaped in headers.
const testCluster = "cluster */1"

// newTestMux returns a Mux with one endpoint for each outcome of a call.
func newTestMux(self transport.Identity) *transport.Mux {
	mux := transport.NewMuxFor(self)
	transport.Handle(mux, echoCall, func(_ context.Context, request echo) (echo, error) { return request, nil })
	transport.Handle(mux, rejectCall, func(context.Context, echo) (echo, error) {
		return echo{}, rpcerror.WrapNotExecuted(errors.New("not the leader"), retryAfter)
	})
	transport.Handle(mux, failCall, func(context.Context, echo) (echo, error) { return echo{}, errors.New("failed during execution") })
	transport.Handle(mux, hangCall, func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	return mux
}

// transportFixture is a caller, an address with a server and an address without a listener.
type transportFixture struct {
	caller           transport.Caller
	served, unserved string
	replace          func(http.Handler) // replaces the process at the served address
}

var sample = echo{Text: "text", Number: 1 << 60, State: map[string][]byte{"a": {}, "b": {1, 0, 255}}}

func (f transportFixture) call(ctx context.Context, address string, endpoint transport.Idempotent[echo, echo]) (echo, error) {
	return endpoint.Call(ctx, f.caller, address, sample)
}

// runContract tests the behavior that every transport must have. open returns a transport whose caller and processes belong to
// testCluster.
func runContract(t *testing.T, open func(t *testing.T, handler http.Handler) transportFixture) {
	Convey("Given a transport", t, func() {
		first := transport.NewIdentity(testCluster, "node-a")
		f := open(t, newTestMux(first))
		checkOutcomes(t, f)
		checkIdentities(t, f, first)
		checkAtMostOnceCalls(t, f, first)
		Convey("each response reaches its own call while other calls are cancelled", func() { checkCancellations(t, f) })
	})
}

// checkOutcomes checks the reply or error of a call for each outcome at the callee.
func checkOutcomes(t *testing.T, f transportFixture) {
	Convey("a reply is received as it was sent", func() {
		reply, err := f.call(t.Context(), f.served, echoCall)
		So(err, ShouldBeNil)
		So(reply, ShouldResemble, sample)
	})
	Convey("a rejected call is not executed, and its error has the delay before a retry", func() {
		_, err := f.call(t.Context(), f.served, rejectCall)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
		So(rpcerror.RetryAfter(err), ShouldEqual, retryAfter)
		So(err.Error(), ShouldContainSubstring, "not the leader")
	})
	Convey("a call whose handler fails may have been executed", func() {
		_, err := f.call(t.Context(), f.served, failCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
	})
	Convey("a call that times out may have been executed", func() {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, err := f.call(ctx, f.served, hangCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
	})
	Convey("a call to an address without a listener is not executed", func() {
		_, err := f.call(t.Context(), f.unserved, echoCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
	Convey("a call to a path without a handler is not executed", func() {
		_, err := f.call(t.Context(), f.served, unknownCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
}

// checkIdentities checks that a call is executed by its addressee or by no process.
func checkIdentities(t *testing.T, f transportFixture, first transport.Identity) {
	callSucceeds := func() {
		_, err := f.call(t.Context(), f.served, echoCall)
		So(err, ShouldBeNil)
	}
	Convey("the first call after a restart of the process succeeds", func() {
		callSucceeds()
		f.replace(newTestMux(transport.NewIdentity(first.Cluster, first.Node)))
		_, err := f.call(t.Context(), f.served, echoCall)
		So(err, ShouldBeNil)
	})
	Convey("another machine at the address rejects the call as not executed, and executes the next one", func() {
		callSucceeds()
		other := transport.NewIdentity(first.Cluster, "node-b")
		f.replace(newTestMux(other))
		_, err := f.call(t.Context(), f.served, echoCall)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
		var misdirected *transport.MisdirectedError
		So(errors.As(err, &misdirected), ShouldBeTrue)
		So(misdirected.Intended, ShouldResemble, transport.Process{Identity: first})
		So(misdirected.Actual, ShouldResemble, other)
		callSucceeds()
	})
	Convey("a process of another cluster rejects each call, also the first one", func() {
		f.replace(newTestMux(transport.NewIdentity("another", first.Node)))
		for range 3 {
			_, err := f.call(t.Context(), f.served, echoCall)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			So(err.Error(), ShouldContainSubstring, "another/node-a/")
		}
	})
}

// checkAtMostOnceCalls checks that at-most-once calls are sent only to known processes and executed once.
func checkAtMostOnceCalls(t *testing.T, f transportFixture, first transport.Identity) {
	send := func() error {
		_, err := countCall.Call(t.Context(), f.caller, f.served, echo{})
		return err
	}
	Convey("an at-most-once call is executed once, also if it is the first call to the process", func() {
		process := newCountingCallee(first)
		f.replace(process)
		So(send(), ShouldBeNil)
		So(send(), ShouldBeNil)
		So(process.executions.Load(), ShouldEqual, 2)
	})
	Convey("a restarted process rejects the first at-most-once call and executes the next one", func() {
		before, after := newCountingCallee(first), newCountingCallee(transport.NewIdentity(first.Cluster, first.Node))
		f.replace(before)
		So(send(), ShouldBeNil)
		f.replace(after)
		So(rpcerror.ExecutionOf(send()), ShouldEqual, rpcerror.NotExecuted)
		So(before.executions.Load(), ShouldEqual, 1)
		So(after.executions.Load(), ShouldEqual, 0)
		So(send(), ShouldBeNil)
		So(after.executions.Load(), ShouldEqual, 1)
	})
	Convey("an at-most-once call is not sent while the process at the address is unknown", func() {
		_, err := countCall.Call(t.Context(), f.caller, f.unserved, echo{})
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
}

// checkCancellations sends many concurrent calls and cancels some of them at random times.
func checkCancellations(t *testing.T, f transportFixture) {
	const (
		callers        = 16
		callsPerCaller = 60
	)
	var wrongReplies, replies atomic.Int64
	var calling sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 0))
		calling.Go(func() {
			for i := range callsPerCaller {
				request := echo{Number: uint64(caller*callsPerCaller + i), Text: strings.Repeat("x", random.IntN(6000))}
				ctx, cancel := context.WithCancel(t.Context())
				if random.IntN(3) == 0 {
					stop := time.AfterFunc(time.Duration(random.IntN(500))*time.Microsecond, cancel)
					defer stop.Stop()
				}
				reply, err := echoCall.Call(ctx, f.caller, f.served, request)
				if err == nil {
					replies.Add(1)
				}
				if err == nil && (reply.Number != request.Number || reply.Text != request.Text) || err != nil && reply.Number != 0 {
					wrongReplies.Add(1)
				}
				cancel()
			}
		})
	}
	calling.Wait()
	So(wrongReplies.Load(), ShouldEqual, 0)
	So(replies.Load(), ShouldBeGreaterThan, callers*callsPerCaller/2)
}

// countingCallee is a callee that counts the executions of countCall.
type countingCallee struct {
	*transport.Mux
	executions atomic.Int64
}

func newCountingCallee(self transport.Identity) *countingCallee {
	c := &countingCallee{Mux: transport.NewMuxFor(self)}
	transport.Handle(c.Mux, countCall, func(context.Context, echo) (echo, error) {
		return echo{Number: uint64(c.executions.Add(1))}, nil
	})
	return c
}

// swappableHandler is an http.Handler that tests can replace while it serves.
type swappableHandler struct{ handler atomic.Value }

func (s *swappableHandler) set(handler http.Handler) { s.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (s *swappableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load().(*http.Handler)).ServeHTTP(w, r)
}

// TestClientKeepsTheContractOverTCP runs the contract over TCP. When it replaces a process, the connections stay open.
func TestClientKeepsTheContractOverTCP(t *testing.T) {
	runContract(t, func(_ *testing.T, handler http.Handler) transportFixture {
		var serving swappableHandler
		serving.set(handler)
		server := httptest.NewServer(&serving)
		unused, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		unused.Close()
		client := transport.NewClientFor(testCluster)
		Reset(func() {
			client.Close()
			server.CloseClientConnections()
			server.Close()
		})
		return transportFixture{caller: client, served: server.Listener.Addr().String(), unserved: unused.Addr().String(), replace: serving.set}
	})
}

func TestClientKeepsTheContractInMemory(t *testing.T) {
	runContract(t, func(_ *testing.T, handler http.Handler) transportFixture {
		network := networktest.New(1)
		network.Serve("served:1", handler)
		network.Serve("nowhere:1", nil)
		replace := func(handler http.Handler) { network.Serve("served:1", handler) }
		return transportFixture{caller: network.CallerInCluster(testCluster, "caller:1"), served: "served:1", unserved: "nowhere:1", replace: replace}
	})
}

func TestUnreadableResponsesMayHaveBeenExecuted(t *testing.T) {
	Convey("A call whose response is truncated or unreadable may have been executed", t, func() {
		for _, handler := range []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("no msgpack")) },
			func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				w.Write([]byte{0x81})
			},
		} {
			server := httptest.NewServer(handler)
			client := transport.NewClient()
			err := client.Call(t.Context(), server.Listener.Addr().String(), echoCall.Route(), echo{}, &echo{})
			client.Close()
			server.Close()
			So(err, ShouldNotBeNil)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
		}
	})
}

// FuzzRequests checks that a handler accepts a request body if and only if it can be decoded.
func FuzzRequests(f *testing.F) {
	encoded, _ := msgpack.Marshal(echo{Text: "text", State: map[string][]byte{"a": {1}}})
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("text"))
	mux := newTestMux(transport.Identity{})
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, echoCall.Path(), strings.NewReader(string(body))))
		var request echo
		decodable := msgpack.Unmarshal(body, &request) == nil
		if succeeded := recorder.Code == http.StatusOK; succeeded != decodable {
			t.Fatalf("got status %d, but the body is decodable: %v", recorder.Code, decodable)
		}
	})
}
