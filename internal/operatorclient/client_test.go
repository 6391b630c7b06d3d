package operatorclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/leaktest"
)

func TestMain(m *testing.M) { leaktest.Main(m) }

// startNode serves a handler until the Convey scope ends, and returns its address.
func startNode(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	Reset(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// respondWith returns a handler that responds with a status and a text.
func respondWith(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, text)
	}
}

// closedAddress is an address without a listener.
const closedAddress = "127.0.0.1:1"

// do sends a request with a new client, which is canceled after a time-out.
func do(timeout time.Duration, request Request, addresses ...string) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := Client{Addresses: addresses, HTTP: NewHTTPClient()}
	defer client.HTTP.CloseIdleConnections()
	return client.Do(ctx, request)
}

const (
	longTimeout  = time.Minute
	shortTimeout = 50 * time.Millisecond
)

func TestNodesAreTriedInTurnUntilADefinitiveAnswer(t *testing.T) {
	read := Request{Method: http.MethodGet, Path: "/-/status", Query: url.Values{"service": {"a b"}}}
	Convey("The next node is called after a failure, and after an answer that is not definitive", t, func() {
		good := startNode(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", `"7"`)
			io.WriteString(w, r.URL.Path+" "+r.URL.Query().Get("service"))
		})
		for _, bad := range []string{
			closedAddress, startNode(respondWith(503, "")), startNode(respondWith(500, "")), startNode(respondWith(408, "")), startNode(respondWith(429, "")),
			startNode(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		} {
			answer, err := do(longTimeout, read, bad, good)
			So(err, ShouldBeNil)
			So(string(answer.Body), ShouldEqual, "/-/status a b")
			So(answer.Version, ShouldEqual, `"7"`)
			So(answer.Address, ShouldEqual, good)
		}
	})
	Convey("All nodes are called again until the time-out", t, func() {
		var calls atomic.Int32
		recovering := startNode(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) < 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		_, err := do(longTimeout, read, closedAddress, recovering)
		So(err, ShouldBeNil)
		So(calls.Load(), ShouldEqual, 3)
	})
	Convey("At most two redirects are followed", t, func() {
		good := startNode(respondWith(200, "there"))
		redirects := func(to string) string {
			return startNode(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Location", "http://"+to+r.URL.RequestURI())
				w.WriteHeader(http.StatusTemporaryRedirect)
			})
		}
		second := redirects(good)
		answer, err := do(longTimeout, read, redirects(second))
		So(err, ShouldBeNil)
		So(string(answer.Body), ShouldEqual, "there")
		_, err = do(shortTimeout, read, redirects(redirects(second)))
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "too many redirects")
	})
}

func TestDefinitiveRejectionEndsTheRequest(t *testing.T) {
	Convey("A definitive rejection ends the request, with the node's text", t, func() {
		var calls atomic.Int32
		other := startNode(func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		for _, status := range []int{400, 404, 409, 412, 422} {
			_, err := do(longTimeout, Request{Method: http.MethodDelete, Path: "/"}, startNode(respondWith(status, `{"error":"no"}`)), other)
			var refused *RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Status, ShouldEqual, status)
			So(refused.Text, ShouldEqual, "no")
		}
		So(calls.Load(), ShouldEqual, 0)
	})
	Convey("A body that is not a node's JSON error is shown unchanged", t, func() {
		_, err := do(longTimeout, Request{Method: http.MethodGet, Path: "/"}, startNode(respondWith(404, "page not found\n")))
		So(err.Error(), ShouldEqual, "answered 404: page not found")
	})
}

func TestUnreachableErrorSaysWhetherTheRequestMayHaveBeenExecuted(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name                string
		method              string
		address             func() string
		mayHaveBeenExecuted bool
	}{
		{"no listener", http.MethodPost, func() string { return closedAddress }, false},
		{"a read", http.MethodGet, func() string { return startNode(unresponsive) }, false},
		{"a drain without an answer", http.MethodPost, func() string { return startNode(unresponsive) }, true},
		{"a drain answered with 503", http.MethodPost, func() string { return startNode(respondWith(503, "")) }, false},
		{"a drain answered with 504", http.MethodPost, func() string { return startNode(respondWith(504, "")) }, true},
		{"a drain answered with 500", http.MethodPost, func() string { return startNode(respondWith(500, "")) }, true},
		{"a drain answered with 408", http.MethodPost, func() string { return startNode(respondWith(408, "")) }, false},
		{"a drain answered with 429", http.MethodPost, func() string { return startNode(respondWith(429, "")) }, false},
		{"a configuration change answered with 503", http.MethodPut, func() string { return startNode(respondWith(503, "")) }, true},
	}
	for _, c := range cases {
		Convey("The error says whether the request may have been executed: "+c.name, t, func() {
			_, err := do(shortTimeout, Request{Method: c.method, Path: "/"}, c.address())
			var unreachable *UnreachableError
			So(errors.As(err, &unreachable), ShouldBeTrue)
			So(unreachable.MayHaveBeenExecuted, ShouldEqual, c.mayHaveBeenExecuted)
			So(unreachable.Failures, ShouldHaveLength, 1)
			if c.mayHaveBeenExecuted {
				So(err.Error(), ShouldContainSubstring, "may have been carried out")
			} else {
				So(err.Error(), ShouldContainSubstring, "nothing was done")
			}
		})
	}
}
