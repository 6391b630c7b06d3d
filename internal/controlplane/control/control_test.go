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

// fakeConfigurator returns what the test sets.
type fakeConfigurator struct {
	outcome configuration.Outcome
	version uint64
	body    string
	readErr error
	// hold makes calls wait until it is closed or their context ends, if set.
	hold chan struct{}

	ifMatch uint64
	put     string
	putErr  error // why the context of a held order ended
}

func (f *fakeConfigurator) wait(ctx context.Context) error {
	if f.hold == nil {
		return nil
	}
	select {
	case <-f.hold:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeConfigurator) Put(ctx context.Context, ifMatch uint64, body []byte) configuration.Outcome {
	f.putErr = f.wait(ctx)
	f.ifMatch, f.put = ifMatch, string(body)
	return f.outcome
}

func (f *fakeConfigurator) Read(ctx context.Context) (uint64, []byte, error) {
	if err := f.wait(ctx); err != nil {
		return 0, nil, err
	}
	return f.version, []byte(f.body), f.readErr
}

func call(handler http.Handler, method, path, ifMatch, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder
}

func TestPut(t *testing.T) {
	Convey("Given a handler", t, func() {
		fake := &fakeConfigurator{outcome: configuration.Outcome{Kind: configuration.Accepted, Version: 7}}
		handler := New(context.Background(), fake, zap.NewNop())

		Convey("an accepted change is answered by 200, and arrives as it was sent", func() {
			answer := call(handler, "PUT", Path, "5", "the body")
			So(answer.Code, ShouldEqual, 200)
			So(answer.Header().Get("Content-Type"), ShouldEqual, "application/json")
			So(answer.Body.String(), ShouldEqual, `{"version":7}`)
			So(fake.ifMatch, ShouldEqual, 5)
			So(fake.put, ShouldEqual, "the body")
		})
		Convey("If-Match may have the quotes of an entity tag", func() {
			So(call(handler, "PUT", Path, `"18446744073709551615"`, "").Code, ShouldEqual, 200)
			So(fake.ifMatch, ShouldEqual, uint64(18446744073709551615))
		})
		Convey("a missing or malformed If-Match is answered by 400", func() {
			for _, ifMatch := range []string{"", "*", "-1", "five", "5,6"} {
				answer := call(handler, "PUT", Path, ifMatch, "the body")
				So(answer.Code, ShouldEqual, 400)
				So(answer.Body.String(), ShouldContainSubstring, `"error":"If-Match is`)
			}
			So(fake.put, ShouldBeEmpty)
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
				answer := call(handler, "PUT", Path, "5", "")
				So(answer.Code, ShouldEqual, c.status)
				So(answer.Body.String(), ShouldContainSubstring, c.text)
				So(answer.Body.String(), ShouldStartWith, `{"error":`)
			}
		})
		Convey("a body over the limit is answered by 413, and is not in flight any more", func() {
			long := strings.Repeat("x", configuration.MaxBodyBytes+1)
			So(call(handler, "PUT", Path, "5", long).Code, ShouldEqual, 413)
			So(len(handler.inFlight), ShouldEqual, 0)
			So(fake.put, ShouldBeEmpty)
		})
		Convey("other paths and methods are rejected", func() {
			So(call(handler, "PUT", "/other", "5", "").Code, ShouldEqual, 404)
			answer := call(handler, "POST", Path, "5", "")
			So(answer.Code, ShouldEqual, 405)
			So(answer.Header().Get("Allow"), ShouldEqual, "GET, HEAD, PUT")
		})
	})
}

func TestSlowChangesAreUncertainInTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		Convey("It is answered as uncertain in time, and continues up to its time-out", t, func() {
			fake := &fakeConfigurator{hold: make(chan struct{})}
			handler := New(context.Background(), fake, zap.NewNop())
			began := time.Now()
			So(call(handler, "PUT", Path, "5", "the body").Code, ShouldEqual, 503)
			So(time.Since(began), ShouldEqual, responseTimeout)
			So(len(handler.inFlight), ShouldEqual, 1)
			<-time.After(changeTimeout - responseTimeout)
			synctest.Wait()
			So(fake.putErr, ShouldEqual, context.DeadlineExceeded)
			So(len(handler.inFlight), ShouldEqual, 0)
		})
		Convey("It ends with the handler's lifetime", t, func() {
			lifetime, end := context.WithCancel(context.Background())
			fake := &fakeConfigurator{hold: make(chan struct{})}
			handler := New(lifetime, fake, zap.NewNop())
			So(call(handler, "PUT", Path, "5", "the body").Code, ShouldEqual, 503)
			end()
			synctest.Wait()
			So(fake.putErr, ShouldEqual, context.Canceled)
		})
		Convey("More than a bounded number at once are rejected", t, func() {
			hold := make(chan struct{})
			handler := New(context.Background(), blockedPuts{hold}, zap.NewNop())
			statuses := make(chan int, maxConcurrentChanges)
			for range maxConcurrentChanges {
				go func() { statuses <- call(handler, "PUT", Path, "5", "").Code }()
			}
			synctest.Wait()
			So(call(handler, "PUT", Path, "5", "").Code, ShouldEqual, 503)
			close(hold)
			for range maxConcurrentChanges {
				So(<-statuses, ShouldEqual, 200)
			}
		})
	})
}

// blockedPuts accepts every change once its channel is closed.
type blockedPuts struct{ hold chan struct{} }

func (h blockedPuts) Put(context.Context, uint64, []byte) configuration.Outcome {
	<-h.hold
	return configuration.Outcome{Kind: configuration.Accepted, Version: 7}
}

func (blockedPuts) Read(context.Context) (uint64, []byte, error) { return 0, nil, errNoMajority }

func TestGet(t *testing.T) {
	Convey("Given a handler", t, func() {
		fake := &fakeConfigurator{}
		handler := New(context.Background(), fake, zap.NewNop())
		Convey("before the first configuration the response is 404", func() {
			So(call(handler, "GET", Path, "", "").Code, ShouldEqual, 404)
		})
		Convey("the response is the newest configuration", func() {
			fake.version, fake.body = 7, `{"version": 7}`
			answer := call(handler, "GET", Path, "", "")
			So(answer.Code, ShouldEqual, 200)
			So(answer.Body.String(), ShouldEqual, `{"version": 7}`)
			So(answer.Header().Get("ETag"), ShouldEqual, `"7"`)
			So(answer.Header().Get("Content-Type"), ShouldEqual, "application/json")
		})
		Convey("without a majority the response is 503", func() {
			fake.readErr = errNoMajority
			So(call(handler, "GET", Path, "", "").Code, ShouldEqual, 503)
		})
	})
	virtualtime.Test(t, func(t *testing.T) {
		Convey("A slow read is answered in time", t, func() {
			fake := &fakeConfigurator{hold: make(chan struct{})}
			handler := New(context.Background(), fake, zap.NewNop())
			began := time.Now()
			So(call(handler, "GET", Path, "", "").Code, ShouldEqual, 503)
			So(time.Since(began), ShouldEqual, responseTimeout)
		})
	})
}

func TestServer(t *testing.T) {
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
		send := func(text string) string {
			connection, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer connection.Close()
			_, err = io.WriteString(connection, text)
			So(err, ShouldBeNil)
			So(connection.(*net.TCPConn).CloseWrite(), ShouldBeNil)
			answer, err := io.ReadAll(connection)
			So(err, ShouldBeNil)
			return string(answer)
		}
		head := "PUT " + Path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nIf-Match: 0\r\n"
		Convey("a complete body is accepted", func() {
			So(send(head+"Content-Length: 4\r\n\r\nbody"), ShouldStartWith, "HTTP/1.1 200 ")
			So(fake.put, ShouldEqual, "body")
		})
		Convey("a truncated body is rejected", func() {
			So(send(head+"Content-Length: 9\r\n\r\nbody"), ShouldStartWith, "HTTP/1.1 400 ")
			So(send(head+"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"), ShouldStartWith, "HTTP/1.1 400 ")
			So(fake.put, ShouldBeEmpty)
		})
	})
}
