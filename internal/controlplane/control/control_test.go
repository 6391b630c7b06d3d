package control

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

var errNoMajority = errors.New("no majority")

// fakeConfigurator returns the results that the test sets and records the arguments of Put.
type fakeConfigurator struct {
	outcome configuration.Outcome
	version uint64
	body    string
	readErr error
	// released, if set, makes calls block until it is closed or their context is done.
	released chan struct{}

	putIfMatch    uint64
	putBody       string
	putContextErr error // the context's error if it was done while Put was blocked
}

func (f *fakeConfigurator) wait(ctx context.Context) error {
	if f.released == nil {
		return nil
	}
	select {
	case <-f.released:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeConfigurator) Put(ctx context.Context, ifMatch uint64, body []byte) configuration.Outcome {
	f.putContextErr = f.wait(ctx)
	f.putIfMatch, f.putBody = ifMatch, string(body)
	return f.outcome
}

func (f *fakeConfigurator) Read(ctx context.Context) (uint64, []byte, error) {
	if err := f.wait(ctx); err != nil {
		return 0, nil, err
	}
	return f.version, []byte(f.body), f.readErr
}

func sendRequest(handler http.Handler, method, path, ifMatch, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestPutReturnsStatusOfOutcome(t *testing.T) {
	Convey("Given a handler", t, func() {
		fake := &fakeConfigurator{outcome: configuration.Outcome{Kind: configuration.Accepted, Version: 7}}
		handler := New(context.Background(), fake, zap.NewNop())

		Convey("an accepted change gets status 200, and Put gets the version and body of the request", func() {
			response := sendRequest(handler, "PUT", ConfigurationPath, "5", "the body")
			So(response.Code, ShouldEqual, 200)
			So(response.Header().Get("Content-Type"), ShouldEqual, "application/json")
			So(response.Body.String(), ShouldEqual, `{"version":7}`)
			So(fake.putIfMatch, ShouldEqual, 5)
			So(fake.putBody, ShouldEqual, "the body")
		})
		Convey("If-Match may have the quotes of an entity tag", func() {
			So(sendRequest(handler, "PUT", ConfigurationPath, `"18446744073709551615"`, "").Code, ShouldEqual, 200)
			So(fake.putIfMatch, ShouldEqual, uint64(18446744073709551615))
		})
		Convey("a missing or malformed If-Match gets status 400", func() {
			for _, ifMatch := range []string{"", "*", "-1", "five", "5,6"} {
				response := sendRequest(handler, "PUT", ConfigurationPath, ifMatch, "the body")
				So(response.Code, ShouldEqual, 400)
				So(response.Body.String(), ShouldContainSubstring, `"error":"If-Match is`)
			}
			So(fake.putBody, ShouldBeEmpty)
		})
		Convey("each outcome has its status", func() {
			cases := []struct {
				outcome configuration.Outcome
				status  int
				text    string
			}{
				{configuration.Outcome{Kind: configuration.Invalid, Err: errors.New("routes[0].name: set it")}, 400, "routes[0].name: set it"},
				{configuration.Outcome{Kind: configuration.Conflict, Err: &configuration.ConflictError{Current: 9}}, 412, "version 9 is current"},
				{configuration.Outcome{Kind: configuration.Unclear, Err: errNoMajority}, 503, "send it again"},
				{configuration.Outcome{Kind: configuration.Unavailable, Err: errNoMajority}, 503, "send it again"},
				{configuration.Outcome{Kind: configuration.Unclear, Err: configuration.ErrOlderThanHistory}, 503, "read the configuration"},
				{configuration.Outcome{Kind: configuration.Unclear, Err: configuration.ErrBaseNotInForce}, 503, "not in force yet"},
				{configuration.Outcome{}, 503, "send it again"},
			}
			for _, c := range cases {
				fake.outcome = c.outcome
				response := sendRequest(handler, "PUT", ConfigurationPath, "5", "")
				So(response.Code, ShouldEqual, c.status)
				So(response.Body.String(), ShouldContainSubstring, c.text)
				So(response.Body.String(), ShouldStartWith, `{"error":`)
			}
		})
		Convey("a body over the limit gets status 413, and its change is not counted as in flight", func() {
			long := strings.Repeat("x", configuration.MaxBodyBytes+1)
			So(sendRequest(handler, "PUT", ConfigurationPath, "5", long).Code, ShouldEqual, 413)
			So(len(handler.inFlight), ShouldEqual, 0)
			So(fake.putBody, ShouldBeEmpty)
		})
		Convey("other paths and methods are rejected", func() {
			So(sendRequest(handler, "PUT", "/other", "5", "").Code, ShouldEqual, 404)
			response := sendRequest(handler, "POST", ConfigurationPath, "5", "")
			So(response.Code, ShouldEqual, 405)
			So(response.Header().Get("Allow"), ShouldEqual, "GET, HEAD, PUT")
		})
	})
}

func TestSlowChangeHasUnknownOutcomeInTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("The response comes within the response timeout, and the change continues until its own timeout", t, func() {
			fake := &fakeConfigurator{released: make(chan struct{})}
			handler := New(context.Background(), fake, zap.NewNop())
			started := time.Now()
			So(sendRequest(handler, "PUT", ConfigurationPath, "5", "the body").Code, ShouldEqual, 503)
			So(time.Since(started), ShouldEqual, responseTimeout)
			So(len(handler.inFlight), ShouldEqual, 1)
			<-time.After(changeTimeout - responseTimeout)
			synctest.Wait()
			So(fake.putContextErr, ShouldEqual, context.DeadlineExceeded)
			So(len(handler.inFlight), ShouldEqual, 0)
		})
		Convey("The end of the handler's lifetime cancels the change", t, func() {
			lifetime, end := context.WithCancel(context.Background())
			fake := &fakeConfigurator{released: make(chan struct{})}
			handler := New(lifetime, fake, zap.NewNop())
			So(sendRequest(handler, "PUT", ConfigurationPath, "5", "the body").Code, ShouldEqual, 503)
			end()
			synctest.Wait()
			So(fake.putContextErr, ShouldEqual, context.Canceled)
		})
		Convey("A change over the limit of concurrent changes is rejected", t, func() {
			released := make(chan struct{})
			handler := New(context.Background(), blockingConfigurator{released}, zap.NewNop())
			statuses := make(chan int, maxConcurrentChanges)
			for range maxConcurrentChanges {
				go func() { statuses <- sendRequest(handler, "PUT", ConfigurationPath, "5", "").Code }()
			}
			synctest.Wait()
			So(sendRequest(handler, "PUT", ConfigurationPath, "5", "").Code, ShouldEqual, 503)
			close(released)
			for range maxConcurrentChanges {
				So(<-statuses, ShouldEqual, 200)
			}
		})
	})
}

// blockingConfigurator blocks each change until its channel is closed, and then accepts it.
type blockingConfigurator struct{ released chan struct{} }

func (b blockingConfigurator) Put(context.Context, uint64, []byte) configuration.Outcome {
	<-b.released
	return configuration.Outcome{Kind: configuration.Accepted, Version: 7}
}

func (blockingConfigurator) Read(context.Context) (uint64, []byte, error) {
	return 0, nil, errNoMajority
}

func TestGetReturnsCurrentConfiguration(t *testing.T) {
	Convey("Given a handler", t, func() {
		fake := &fakeConfigurator{}
		handler := New(context.Background(), fake, zap.NewNop())
		Convey("the response before the first configuration is 404", func() {
			So(sendRequest(handler, "GET", ConfigurationPath, "", "").Code, ShouldEqual, 404)
		})
		Convey("the response is the current configuration", func() {
			fake.version, fake.body = 7, `{"version": 7}`
			response := sendRequest(handler, "GET", ConfigurationPath, "", "")
			So(response.Code, ShouldEqual, 200)
			So(response.Body.String(), ShouldEqual, `{"version": 7}`)
			So(response.Header().Get("ETag"), ShouldEqual, `"7"`)
			So(response.Header().Get("Content-Type"), ShouldEqual, "application/json")
		})
		Convey("the response without a majority is 503", func() {
			fake.readErr = errNoMajority
			So(sendRequest(handler, "GET", ConfigurationPath, "", "").Code, ShouldEqual, 503)
		})
	})
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A slow read gets its response within the response timeout", t, func() {
			fake := &fakeConfigurator{released: make(chan struct{})}
			handler := New(context.Background(), fake, zap.NewNop())
			started := time.Now()
			So(sendRequest(handler, "GET", ConfigurationPath, "", "").Code, ShouldEqual, 503)
			So(time.Since(started), ShouldEqual, responseTimeout)
		})
	})
}

func TestServerRejectsTruncatedBody(t *testing.T) {
	Convey("Given a server on loopback", t, func() {
		fake := &fakeConfigurator{outcome: configuration.Outcome{Kind: configuration.Accepted, Version: 7}}
		server := NewServer(New(context.Background(), fake, zap.NewNop()), zap.NewNop())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		served := make(chan error, 1)
		go func() { served <- server.Serve(listener) }()
		address := listener.Addr().String()
		Reset(func() {
			So(server.Close(), ShouldBeNil)
			So(<-served, ShouldEqual, http.ErrServerClosed)
		})
		send := func(request string) string {
			connection, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer connection.Close()
			_, err = io.WriteString(connection, request)
			So(err, ShouldBeNil)
			So(connection.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			response, err := io.ReadAll(connection)
			So(err, ShouldBeNil)
			return string(response)
		}
		requestHead := "PUT " + ConfigurationPath + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: 0\r\n"
		Convey("a complete body is accepted", func() {
			So(send(requestHead+"Content-Length: 4\r\n\r\nbody"), ShouldStartWith, "HTTP/1.1 200 ")
			So(fake.putBody, ShouldEqual, "body")
		})
		Convey("a truncated body is rejected", func() {
			So(send(requestHead+"Content-Length: 9\r\n\r\nbody"), ShouldStartWith, "HTTP/1.1 400 ")
			So(send(requestHead+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), ShouldStartWith, "HTTP/1.1 400 ")
			So(fake.putBody, ShouldBeEmpty)
		})
	})
}
