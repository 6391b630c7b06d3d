package transport_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// startServerAndClient starts a server with a handler. It returns a client and the address of the server.
func startServerAndClient(t *testing.T, handler http.Handler) (client *transport.Client, address string) {
	server := httptest.NewServer(handler)
	client = transport.NewClientFor(testCluster)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, server.Listener.Addr().String()
}

// withFromHeader returns a handler that replaces FromHeader in the responses of mux. It removes the header if change returns "".
func withFromHeader(mux http.Handler, change func(from string) string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		mux.ServeHTTP(recorder, r)
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		if from := change(recorder.Header().Get(transport.FromHeader)); from != "" {
			w.Header().Set(transport.FromHeader, from)
		} else {
			w.Header().Del(transport.FromHeader)
		}
		w.WriteHeader(recorder.Code)
		w.Write(recorder.Body.Bytes())
	})
}

func TestResponsesOfOtherProcessesAreRejected(t *testing.T) {
	self := transport.NewIdentity(testCluster, "node-a")
	splitHeader := func(from string) (process, call string) {
		at := strings.LastIndex(from, "/")
		return from[:at], from[at+1:]
	}
	Convey("Given a process that the client knows", t, func() {
		var change atomic.Value
		same := func(from string) string { return from }
		change.Store(same)
		client, address := startServerAndClient(t, withFromHeader(newTestMux(self), func(from string) string { return change.Load().(func(string) string)(from) }))
		_, err := echoCall.Call(t.Context(), client, address, sample)
		So(err, ShouldBeNil)

		for name, wrong := range map[string]func(string) string{
			"a response to another call":    func(from string) string { return from + "1" },
			"a response to no call":         func(from string) string { process, _ := splitHeader(from); return process + "/" },
			"a response without FromHeader": func(string) string { return "" },
			"another process's response": func(from string) string {
				_, call := splitHeader(from)
				return transport.NewIdentity(testCluster, "node-a").String() + "/" + call
			},
			"another machine's response": func(from string) string {
				_, call := splitHeader(from)
				return transport.NewIdentity(testCluster, "node-b").String() + "/" + call
			},
		} {
			Convey(name+" is rejected, and the call may have been executed", func() {
				change.Store(wrong)
				for _, endpoint := range []transport.Idempotent[echo, echo]{echoCall, rejectCall, failCall} {
					change.Store(same)
					_, _ = echoCall.Call(t.Context(), client, address, sample) // so that the client knows the process
					change.Store(wrong)
					reply, err := endpoint.Call(t.Context(), client, address, sample)
					So(err, ShouldNotBeNil)
					So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
					So(reply, ShouldResemble, echo{})
				}
			})
		}
	})
	Convey("Another cluster's response to the first call is rejected", t, func() {
		client, address := startServerAndClient(t, withFromHeader(newTestMux(self), func(from string) string {
			_, call := splitHeader(from)
			return transport.NewIdentity("another", "node-a").String() + "/" + call
		}))
		_, err := echoCall.Call(t.Context(), client, address, sample)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
	})
}

func TestOlderBuildsCanCallAndBeCalled(t *testing.T) {
	Convey("A response without FromHeader is accepted while the client knows no process at the address, each time", t, func() {
		client, address := startServerAndClient(t, withFromHeader(newTestMux(transport.NewIdentity(testCluster, "node-a")), func(string) string { return "" }))
		for range 2 {
			_, err := echoCall.Call(t.Context(), client, address, sample)
			So(err, ShouldBeNil)
		}
	})
	Convey("An at-most-once call is not sent to a process that sends no FromHeader", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		client, address := startServerAndClient(t, withFromHeader(process, func(string) string { return "" }))
		_, err := countCall.Call(t.Context(), client, address, echo{})
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.NotExecuted)
		So(process.executions.Load(), ShouldEqual, 0)
	})
	Convey("A call without ToHeader is accepted", t, func() {
		body, err := msgpack.Marshal(sample)
		So(err, ShouldBeNil)
		recorder := httptest.NewRecorder()
		newTestMux(transport.NewIdentity(testCluster, "node-a")).ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, echoCall.Path(), bytes.NewReader(body)))
		So(recorder.Code, ShouldEqual, http.StatusOK)
	})
	Convey("A call with a malformed ToHeader is rejected", t, func() {
		for _, header := range []string{"/", "a/b/c", "a/b/?/c", "%zz/*/*/c", "a/b/1/c/d", "*"} {
			request := httptest.NewRequest(http.MethodPost, echoCall.Path(), strings.NewReader("\x80"))
			request.Header.Set(transport.ToHeader, header)
			recorder := httptest.NewRecorder()
			newTestMux(transport.NewIdentity("a", "b")).ServeHTTP(recorder, request)
			So(recorder.Code, ShouldEqual, http.StatusMisdirectedRequest)
		}
	})
}

func TestRedirectsAreNotFollowed(t *testing.T) {
	Convey("A redirect is not followed, as the call would be executed by another process", t, func() {
		var redirectedCalls atomic.Int64
		_, target := startServerAndClient(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { redirectedCalls.Add(1) }))
		for _, status := range []int{http.StatusTemporaryRedirect, http.StatusPermanentRedirect, http.StatusSeeOther} {
			client, address := startServerAndClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", "http://"+target+r.URL.Path)
				w.WriteHeader(status)
			}))
			_, err := echoCall.Call(t.Context(), client, address, echo{})
			So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
			So(redirectedCalls.Load(), ShouldEqual, 0)
		}
	})
}

func TestDuplicateAtMostOnceCallsAreRejected(t *testing.T) {
	Convey("An at-most-once call is not executed a second time when a duplicate arrives", t, func() {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		deliver := func(call string) int {
			request := httptest.NewRequest(http.MethodPost, countCall.Path(), strings.NewReader("\x80"))
			request.Header.Set(transport.ToHeader, "cluster%20%2A%2F1/*/*/"+call)
			recorder := httptest.NewRecorder()
			process.ServeHTTP(recorder, request)
			return recorder.Code
		}
		So(deliver("a"), ShouldEqual, http.StatusOK)
		So(deliver("b"), ShouldEqual, http.StatusOK)
		So(deliver("a"), ShouldEqual, http.StatusInternalServerError) // not a rejection as not executed, because the first copy was executed
		So(process.executions.Load(), ShouldEqual, 2)
	})
}

// TestLateAtMostOnceCallsAreRejected guards against an at-most-once call that is executed long after its caller timed out. This
// can happen at a callee that was suspended while the call was in its socket's buffer.
func TestLateAtMostOnceCallsAreRejected(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		process := newCountingCallee(transport.NewIdentity(testCluster, "node-a"))
		idempotent := transport.NewIdempotent[echo, echo]("/other")
		transport.Handle(process.Mux, idempotent, func(context.Context, echo) (echo, error) {
			return echo{Number: uint64(process.executions.Add(1))}, nil
		})
		network := networktest.New(1)
		network.Serve("served:1", process)
		caller := network.CallerInCluster(testCluster, "caller:1")
		send := func(endpoint interface {
			Call(context.Context, transport.Caller, string, echo) (echo, error)
		}) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := endpoint.Call(ctx, caller, "served:1", echo{})
			return err
		}
		if err := send(countCall); err != nil || process.executions.Load() != 1 {
			t.Fatal(err, process.executions.Load())
		}
		time.Sleep(time.Hour) // the client's reading of the callee's clock remains valid
		network.AddRule(networktest.Rule{Path: countCall.Path(), Delay: 20 * time.Second, MaxMatches: 1})
		network.AddRule(networktest.Rule{Path: idempotent.Path(), Delay: 20 * time.Second, MaxMatches: 1})
		if err := send(countCall); rpcerror.ExecutionOf(err) != rpcerror.MayHaveExecuted {
			t.Error("a call that the callee had not received yet was reported as not executed:", err)
		}
		time.Sleep(time.Minute)
		if executions := process.executions.Load(); executions != 1 {
			t.Errorf("a call that arrived 19 s after its timeout was executed: %d executions", executions)
		}
		if err := send(idempotent); err == nil {
			t.Error("a call that is delayed by 20 s got a reply within 1 s")
		}
		time.Sleep(time.Minute)
		if executions := process.executions.Load(); executions != 2 {
			t.Errorf("a late idempotent call was not executed: %d executions", executions)
		}
		if err := send(countCall); err != nil || process.executions.Load() != 3 {
			t.Error("a call that arrived in time was rejected:", err)
		}
	})
}

func TestRepliesAreDecodedWhollyOrNotAtAll(t *testing.T) {
	Convey("A response that is truncated within a field leaves the reply unchanged", t, func() {
		encoded, err := msgpack.Marshal(sample)
		So(err, ShouldBeNil)
		client, address := startServerAndClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(encoded[:len(encoded)-1]) }))
		reply := echo{Text: "before"}
		err = client.Call(t.Context(), address, echoCall.Route(), sample, &reply)
		So(rpcerror.ExecutionOf(err), ShouldEqual, rpcerror.MayHaveExecuted)
		So(errors.Unwrap(err), ShouldNotBeNil)
		So(reply, ShouldResemble, echo{Text: "before"})
	})
}
