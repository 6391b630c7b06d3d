package transport_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/verdict"
)

const retryAfter = 250 * time.Millisecond

// Endpoints of the tests: one for each way in which a call may end, and one that nobody serves.
var (
	echoCall    = transport.NewRepeatable[echo, echo]("/echo")
	refuseCall  = transport.NewRepeatable[echo, echo]("/refuse")
	failCall    = transport.NewRepeatable[echo, echo]("/fail")
	hangCall    = transport.NewRepeatable[echo, echo]("/hang")
	unknownCall = transport.NewRepeatable[echo, echo]("/unknown")
)

type echo struct {
	Text   string            `msgpack:"t"`
	Number uint64            `msgpack:"n"`
	State  map[string][]byte `msgpack:"s"`
}

// handlers serve one path for each way in which a call may end.
func handlers() *transport.Mux {
	mux := transport.NewMux()
	transport.Handle(mux, echoCall, func(_ context.Context, request echo) (echo, error) { return request, nil })
	transport.Handle(mux, refuseCall, func(context.Context, echo) (echo, error) {
		return echo{}, verdict.Unexecuted(errors.New("not the leader"), retryAfter)
	})
	transport.Handle(mux, failCall, func(context.Context, echo) (echo, error) { return echo{}, errors.New("broke down midway") })
	transport.Handle(mux, hangCall, func(ctx context.Context, _ echo) (echo, error) {
		<-ctx.Done()
		return echo{}, ctx.Err()
	})
	return mux
}

// site is a transport with a served address and one where nobody listens.
type site struct {
	caller          transport.Caller
	served, nowhere string
}

// runContract checks what every transport promises to its callers.
func runContract(t *testing.T, open func(t *testing.T, handler http.Handler) site) {
	call := func(s site, ctx context.Context, address string, route transport.Route) (echo, error) {
		var reply echo
		request := echo{Text: "text", Number: 1 << 60, State: map[string][]byte{"a": {}, "b": {1, 0, 255}}}
		return reply, s.caller.Call(ctx, address, route, request, &reply)
	}
	Convey("Given a transport", t, func() {
		s := open(t, handlers())
		Convey("a reply comes back as it was sent", func() {
			var reply echo
			request := echo{Text: "text", Number: 1 << 60, State: map[string][]byte{"a": {}, "b": {1, 0, 255}}}
			So(s.caller.Call(t.Context(), s.served, echoCall.Route(), request, &reply), ShouldBeNil)
			So(reply, ShouldResemble, request)
		})
		Convey("a refusal has not run, and says when to come back", func() {
			_, err := call(s, t.Context(), s.served, refuseCall.Route())
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
			So(verdict.RetryAfter(err), ShouldEqual, retryAfter)
			So(err.Error(), ShouldContainSubstring, "not the leader")
		})
		Convey("a failure of the callee may have run", func() {
			_, err := call(s, t.Context(), s.served, failCall.Route())
			So(err, ShouldNotBeNil)
			So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
		})
		Convey("a call that is given up may have run", func() {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
			defer cancel()
			_, err := call(s, ctx, s.served, hangCall.Route())
			So(err, ShouldNotBeNil)
			So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
		})
		Convey("a call to nobody has not run", func() {
			_, err := call(s, t.Context(), s.nowhere, echoCall.Route())
			So(err, ShouldNotBeNil)
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		})
		Convey("a path that nobody serves has not run", func() {
			_, err := call(s, t.Context(), s.served, unknownCall.Route())
			So(err, ShouldNotBeNil)
			So(verdict.Of(err), ShouldEqual, verdict.NotRun)
		})
	})
}

func TestSocketsKeepTheContract(t *testing.T) {
	runContract(t, func(t *testing.T, handler http.Handler) site {
		server := httptest.NewServer(handler)
		unused, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		unused.Close()
		client := transport.NewClient()
		Reset(func() {
			client.Close()
			server.CloseClientConnections()
			server.Close()
		})
		return site{caller: client, served: server.Listener.Addr().String(), nowhere: unused.Addr().String()}
	})
}

func TestMemoryKeepsTheContract(t *testing.T) {
	runContract(t, func(_ *testing.T, handler http.Handler) site {
		network := networktest.New(1)
		network.Serve("served:1", handler)
		network.Serve("nowhere:1", nil)
		return site{caller: network.Caller("caller:1"), served: "served:1", nowhere: "nowhere:1"}
	})
}

func TestAnswersThatAreNoReplies(t *testing.T) {
	Convey("An answer that breaks off, or cannot be read, may have run", t, func() {
		for _, handler := range []http.HandlerFunc{
			func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("no msgpack")) },
			func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) },
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
			So(verdict.Of(err), ShouldEqual, verdict.MayHaveRun)
		}
	})
}

// FuzzRequests hands any bytes to a handler: it answers, and never with success what cannot be read.
func FuzzRequests(f *testing.F) {
	whole, _ := msgpack.Marshal(echo{Text: "text", State: map[string][]byte{"a": {1}}})
	f.Add(whole)
	f.Add(whole[:len(whole)/2])
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte("text"))
	mux := handlers()
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
