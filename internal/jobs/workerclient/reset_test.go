package workerclient

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport/resettest"
)

// startCounter is a worker that counts how often each start was executed.
type startCounter struct {
	mutex      sync.Mutex
	executions map[string]int // by the body of the call
}

// ServeHTTP implements http.Handler.
func (s *startCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // a call that has not arrived completely is not executed
	}
	s.mutex.Lock()
	s.executions[string(body)]++
	s.mutex.Unlock()
	w.Write([]byte(`{"clockMs":482113}`))
}

func (s *startCounter) count(body []byte) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.executions[string(body)]
}

// TestStartsOnConnectionsThatAreReset resets the connection at each byte of a start and of its response.
func TestStartsOnConnectionsThatAreReset(t *testing.T) {
	t.Parallel()
	for name, usedBefore := range map[string]bool{"a new connection": false, "a connection used before": true} {
		convey.Convey("A start on "+name+" is executed once at most, and is unclear", t, func() {
			counter := &startCounter{executions: map[string]int{}}
			server := httptest.NewServer(counter)
			relay := resettest.New(t, server.Listener.Addr().String())
			send := func(execution uint64, resetAt resettest.Direction, after int) ([]byte, error) {
				client := NewHTTPClient()
				defer client.CloseIdleConnections()
				worker := newCaller(client, relay.Address(), "i-1", func() bool { return true })
				relay.ResetAt(resetAt, resettest.NoReset)
				if usedBefore {
					_, err := worker.post(context.Background(), worker.renewal, []byte("{}"), eventTimeout)
					convey.So(err, convey.ShouldBeNil)
				}
				relay.ResetAt(resetAt, after)
				command := startCommand(0, execution)
				body := appendStart(nil, &command, time.Hour.Milliseconds(), 1)
				_, err := worker.post(context.Background(), worker.start, body, eventTimeout)
				return body, err
			}
			const firstAttemptNumber = 1000 // so that all calls have one length
			_, err := send(firstAttemptNumber, resettest.Requests, resettest.NoReset)
			convey.So(err, convey.ShouldBeNil)
			lengths := [2]int{relay.ForwardedBytes(resettest.Requests), relay.ForwardedBytes(resettest.Responses)}
			execution, wrong := uint64(firstAttemptNumber), 0
			var resetsInRequest [][]byte
			for _, resetAt := range []resettest.Direction{resettest.Requests, resettest.Responses} {
				for after := range lengths[resetAt] {
					execution++
					body, err := send(execution, resetAt, after)
					if err == nil || rpcerror.ExecutionOf(err) != rpcerror.MayHaveExecuted {
						wrong++
						t.Errorf("reset after byte %d of way %d: %v", after, resetAt, err)
					}
					if resetAt == resettest.Requests {
						resetsInRequest = append(resetsInRequest, body)
					} else if counter.count(body) != 1 {
						wrong++
					}
				}
			}
			server.Close() // returns when all that arrived has run
			for _, body := range resetsInRequest {
				if counter.count(body) != 0 {
					wrong++
				}
			}
			convey.So(wrong, convey.ShouldEqual, 0)
		})
	}
}

// TestStartsAreNotRetriedByNetHTTP lets a worker break off a connection that was used before, after it has executed a start.
func TestStartsAreNotRetriedByNetHTTP(t *testing.T) {
	t.Parallel()
	convey.Convey("A start whose response is broken off is not retried by net/http, whatever its headers say", t, func() {
		counter := &startCounter{executions: map[string]int{}}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			counter.ServeHTTP(w, r)
			if r.URL.Path == startPath {
				panic(http.ErrAbortHandler)
			}
		}))
		defer server.Close()
		client := NewHTTPClient()
		defer client.CloseIdleConnections()
		worker := newCaller(client, server.Listener.Addr().String(), "i-1", func() bool { return true })
		worker.headers.Set("Idempotency-Key", "1") // makes net/http retry
		_, err := worker.post(context.Background(), worker.renewal, []byte("{}"), eventTimeout)
		convey.So(err, convey.ShouldBeNil)
		command := startCommand(0, 1)
		body := appendStart(nil, &command, time.Hour.Milliseconds(), 1)
		_, err = worker.post(context.Background(), worker.start, body, eventTimeout)
		convey.So(rpcerror.ExecutionOf(err), convey.ShouldEqual, rpcerror.MayHaveExecuted)
		convey.So(counter.count(body), convey.ShouldEqual, 1)
	})
}
