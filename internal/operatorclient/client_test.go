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

// node serves a handler until the Convey scope ends, and returns its address.
func node(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	Reset(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// respondWith responds with a status and a text.
func respondWith(status int, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		io.WriteString(w, text)
	}
}

// closedAddress is an address without a listener.
const closedAddress = "127.0.0.1:1"

func do(limit time.Duration, request Request, addresses ...string) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	client := Client{Addresses: addresses, HTTP: NewHTTPClient()}
	defer client.HTTP.CloseIdleConnections()
	return client.Do(ctx, request)
}

const (
	longTimeout  = time.Minute
	shortTimeout = 50 * time.Millisecond
)

func TestNodesAreTriedInTurn(t *testing.T) {
	read := Request{Method: http.MethodGet, Path: "/-/status", Query: url.Values{"service": {"a b"}}}
	Convey("The next node is called after a failure, and after an answer that is not definitive", t, func() {
		good := node(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("ETag", `"7"`)
			io.WriteString(w, r.URL.Path+" "+r.URL.Query().Get("service"))
		})
		for _, bad := range []string{
			closedAddress, node(respondWith(503, "")), node(respondWith(500, "")), node(respondWith(408, "")), node(respondWith(429, "")),
			node(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }),
		} {
			answer, err := do(longTimeout, read, bad, good)
			So(err, ShouldBeNil)
			So(string(answer.Body), ShouldEqual, "/-/status a b")
			So(answer.Version, ShouldEqual, `"7"`)
			So(answer.Address, ShouldEqual, good)
		}
	})
	Convey("All are called again until the time-out", t, func() {
		var calls atomic.Int32
		late := node(func(w http.ResponseWriter, _ *http.Request) {
			if calls.Add(1) < 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		_, err := do(longTimeout, read, closedAddress, late)
		So(err, ShouldBeNil)
		So(calls.Load(), ShouldEqual, 3)
	})
	Convey("Redirects are followed twice", t, func() {
		good := node(respondWith(200, "there"))
		redirects := func(to string) string {
			return node(func(w http.ResponseWriter, r *http.Request) {
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

func TestRejectionsAreDefinitive(t *testing.T) {
	Convey("A definitive rejection ends the request, with the node's text", t, func() {
		var calls atomic.Int32
		other := node(func(http.ResponseWriter, *http.Request) { calls.Add(1) })
		for _, status := range []int{400, 404, 409, 412, 422} {
			_, err := do(longTimeout, Request{Method: http.MethodDelete, Path: "/"}, node(respondWith(status, `{"error":"no"}`)), other)
			var refused *RefusedError
			So(errors.As(err, &refused), ShouldBeTrue)
			So(refused.Status, ShouldEqual, status)
			So(refused.Text, ShouldEqual, "no")
		}
		So(calls.Load(), ShouldEqual, 0)
	})
	Convey("A text that is not a node's form of an error is shown as it is", t, func() {
		_, err := do(longTimeout, Request{Method: http.MethodGet, Path: "/"}, node(respondWith(404, "page not found\n")))
		So(err.Error(), ShouldEqual, "answered 404: page not found")
	})
}

func TestUnreachableNodes(t *testing.T) {
	mute := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	cases := []struct {
		name    string
		method  string
		address func() string
		unclear bool
	}{
		{"no listener", http.MethodPost, func() string { return closedAddress }, false},
		{"a read", http.MethodGet, func() string { return node(mute) }, false},
		{"a drain without an answer", http.MethodPost, func() string { return node(mute) }, true},
		{"a drain that was not done", http.MethodPost, func() string { return node(respondWith(503, "")) }, false},
		{"a drain that may have been done", http.MethodPost, func() string { return node(respondWith(504, "")) }, true},
		{"a drain during which the node failed", http.MethodPost, func() string { return node(respondWith(500, "")) }, true},
		{"a drain that was not read", http.MethodPost, func() string { return node(respondWith(408, "")) }, false},
		{"a drain that was rejected for its rate", http.MethodPost, func() string { return node(respondWith(429, "")) }, false},
		{"a configuration that may have been taken", http.MethodPut, func() string { return node(respondWith(503, "")) }, true},
	}
	for _, c := range cases {
		Convey("The error says whether the request may have been executed: "+c.name, t, func() {
			_, err := do(shortTimeout, Request{Method: c.method, Path: "/"}, c.address())
			var unreachable *UnreachableError
			So(errors.As(err, &unreachable), ShouldBeTrue)
			So(unreachable.MayHaveBeenExecuted, ShouldEqual, c.unclear)
			So(unreachable.Failures, ShouldHaveLength, 1)
			if c.unclear {
				So(err.Error(), ShouldContainSubstring, "may have been carried out")
			} else {
				So(err.Error(), ShouldContainSubstring, "nothing was done")
			}
		})
	}
}
