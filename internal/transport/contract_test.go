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

// Endpoints of the tests: one for each outcome of a call, and one that nobody serves.
var (
	echoCall    = transport.NewIdempotent[echo, echo]("/echo")
	refuseCall  = transport.NewIdempotent[echo, echo]("/refuse")
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

// testCluster is a name with characters that must be escaped.
const testCluster = "cluster */1"

// handlers serve one path for each outcome of a call.
func handlers(self transport.Identity) *transport.Mux {
	mux := transport.NewMuxFor(self)
	transport.Handle(mux, echoCall, func(_ context.Context, request echo) (echo, error) { return request, nil })
	transport.Handle(mux, refuseCall, func(context.Context, echo) (echo, error) {
		return echo{}, rpcerror.WrapNotExecuted(errors.New("not the leader"), retryAfter)
	})
	transport.Handle(mux, failCall, func(context.Context, echo) (echo, error) { return echo{}, errors.New("broke down midway") })
	transport.Handle(mux, hangCall, func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	return mux
}

// fixture is a transport with a served address and one without a listener.
type fixture struct {
	caller           transport.Caller
	served, unserved string
	replace          func(http.Handler) // puts another process at the served address
}

var sample = echo{Text: "text", Number: 1 << 60, State: map[string][]byte{"a": {}, "b": {1, 0, 255}}}

func (s fixture) call(ctx context.Context, address string, endpoint transport.Idempotent[echo, echo]) (echo, error) {
	return endpoint.Call(ctx, s.caller, address, sample)
}

// runContract checks what every transport promises to its callers. All processes are of the caller's cluster.
func runContract(t *testing.T, open func(t *testing.T, handler http.Handler) fixture) {
	Convey("Given a transport", t, func() {
		first := transport.NewIdentity(testCluster, "node-a")
		s := open(t, handlers(first))
		checkOutcomes(t, s)
		checkIdentities(t, s, first)
		checkAtMostOnceCalls(t, s, first)
		Convey("a response reaches its own call among many that are cancelled", func() { checkCancellations(t, s) })
	})
}

// checkOutcomes checks the outcomes of a call.
func checkOutcomes(t *testing.T, s fixture) {
	Convey("a reply comes back as it was sent", func() {
		reply, err := s.call(t.Context(), s.served, echoCall)
		So(err, ShouldBeNil)
		So(reply, ShouldResemble, sample)
	})
	Convey("a rejection is not executed, and says when to retry", func() {
		_, err := s.call(t.Context(), s.served, refuseCall)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
		So(rpcerror.RetryAfter(err), ShouldEqual, retryAfter)
		So(err.Error(), ShouldContainSubstring, "not the leader")
	})
	Convey("a call whose handler fails may have been executed", func() {
		_, err := s.call(t.Context(), s.served, failCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
	})
	Convey("a call that times out may have been executed", func() {
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		_, err := s.call(ctx, s.served, hangCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
	})
	Convey("a call to an address without a listener is not executed", func() {
		_, err := s.call(t.Context(), s.unserved, echoCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
	Convey("a call of a path that is not served is not executed", func() {
		_, err := s.call(t.Context(), s.served, unknownCall)
		So(err, ShouldNotBeNil)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
}

// checkIdentities checks that a call is executed by its addressee or not at all.
func checkIdentities(t *testing.T, s fixture, first transport.Identity) {
	met := func() {
		_, err := s.call(t.Context(), s.served, echoCall)
		So(err, ShouldBeNil)
	}
	Convey("a restarted process is reached by the first call", func() {
		met()
		s.replace(handlers(transport.NewIdentity(first.Cluster, first.Node)))
		_, err := s.call(t.Context(), s.served, echoCall)
		So(err, ShouldBeNil)
	})
	Convey("another machine at the address rejects the call as not executed, and executes the next one", func() {
		met()
		other := transport.NewIdentity(first.Cluster, "node-b")
		s.replace(handlers(other))
		_, err := s.call(t.Context(), s.served, echoCall)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
		var misdirected *transport.MisdirectedError
		So(errors.As(err, &misdirected), ShouldBeTrue)
		So(misdirected.Intended, ShouldResemble, transport.Process{Identity: first})
		So(misdirected.Actual, ShouldResemble, other)
		met()
	})
	Convey("a process of another cluster rejects each call, also on first contact", func() {
		s.replace(handlers(transport.NewIdentity("another", first.Node)))
		for range 3 {
			_, err := s.call(t.Context(), s.served, echoCall)
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
			So(err.Error(), ShouldContainSubstring, "another/node-a/")
		}
	})
}

// checkAtMostOnceCalls checks at-most-once calls.
func checkAtMostOnceCalls(t *testing.T, s fixture, first transport.Identity) {
	send := func() error {
		_, err := countCall.Call(t.Context(), s.caller, s.served, echo{})
		return err
	}
	Convey("an at-most-once call is executed once, also on first contact", func() {
		process := newCountingCallee(first)
		s.replace(process)
		So(send(), ShouldBeNil)
		So(send(), ShouldBeNil)
		So(process.executions.Load(), ShouldEqual, 2)
	})
	Convey("a restarted process does not execute it, but the next one", func() {
		before, after := newCountingCallee(first), newCountingCallee(transport.NewIdentity(first.Cluster, first.Node))
		s.replace(before)
		So(send(), ShouldBeNil)
		s.replace(after)
		So(rpcerror.ExecutionOf(send()), ShouldEqual, rpcerror.NotExecuted)
		So(before.executions.Load(), ShouldEqual, 1)
		So(after.executions.Load(), ShouldEqual, 0)
		So(send(), ShouldBeNil)
		So(after.executions.Load(), ShouldEqual, 1)
	})
	Convey("where the process at the address is not known, it is not sent", func() {
		_, err := countCall.Call(t.Context(), s.caller, s.unserved, echo{})
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
	})
}

// checkCancellations makes many calls at once, of which many are cancelled at any moment.
func checkCancellations(t *testing.T, s fixture) {
	const callers, callsEach = 16, 60
	var wrong, answered atomic.Int64
	var calling sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 0))
		calling.Go(func() {
			for i := range callsEach {
				request := echo{Number: uint64(caller*callsEach + i), Text: strings.Repeat("x", random.IntN(6000))}
				ctx, cancel := context.WithCancel(t.Context())
				if random.IntN(3) == 0 {
					stop := time.AfterFunc(time.Duration(random.IntN(500))*time.Microsecond, cancel)
					defer stop.Stop()
				}
				reply, err := echoCall.Call(ctx, s.caller, s.served, request)
				if err == nil {
					answered.Add(1)
				}
				if err == nil && (reply.Number != request.Number || reply.Text != request.Text) || err != nil && reply.Number != 0 {
					wrong.Add(1)
				}
				cancel()
			}
		})
	}
	calling.Wait()
	So(wrong.Load(), ShouldEqual, 0)
	So(answered.Load(), ShouldBeGreaterThan, callers*callsEach/2)
}

// countingCallee serves countCall and counts how often it is executed.
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

// swappableHandler serves one handler after the other.
type swappableHandler struct{ handler atomic.Value }

func (s *swappableHandler) set(handler http.Handler) { s.handler.Store(&handler) }

// ServeHTTP implements http.Handler.
func (s *swappableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	(*s.handler.Load().(*http.Handler)).ServeHTTP(w, r)
}

// TestClientKeepsTheContractOverTCP replaces processes behind connections that stay open.
func TestClientKeepsTheContractOverTCP(t *testing.T) {
	runContract(t, func(_ *testing.T, handler http.Handler) fixture {
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
		return fixture{caller: client, served: server.Listener.Addr().String(), unserved: unused.Addr().String(), replace: serving.set}
	})
}

func TestClientKeepsTheContractInMemory(t *testing.T) {
	runContract(t, func(_ *testing.T, handler http.Handler) fixture {
		network := networktest.New(1)
		network.Serve("served:1", handler)
		network.Serve("nowhere:1", nil)
		replace := func(handler http.Handler) { network.Serve("served:1", handler) }
		return fixture{caller: network.CallerInCluster(testCluster, "caller:1"), served: "served:1", unserved: "nowhere:1", replace: replace}
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

// FuzzRequests sends any bytes to a handler: its response is a success exactly if they can be decoded.
func FuzzRequests(f *testing.F) {
	encoded, _ := msgpack.Marshal(echo{Text: "text", State: map[string][]byte{"a": {1}}})
	f.Add(encoded)
	f.Add(encoded[:len(encoded)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("text"))
	mux := handlers(transport.Identity{})
	f.Fuzz(func(t *testing.T, body []byte) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, echoCall.Path(), strings.NewReader(string(body))))
		var request echo
		readable := msgpack.Unmarshal(body, &request) == nil
		if succeeded := recorder.Code == http.StatusOK; succeeded != readable {
			t.Fatalf("answered %d, readable %v", recorder.Code, readable)
		}
	})
}
