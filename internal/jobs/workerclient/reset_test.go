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

// startCounter is a worker that counts the executions of each start.
type startCounter struct {
	mu         sync.Mutex
	executions map[string]int // by request body
}

// ServeHTTP implements http.Handler.
func (s *startCounter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // an incomplete call is not executed
	}
	s.mu.Lock()
	s.executions[string(body)]++
	s.mu.Unlock()
	w.Write([]byte(`{"clockMs":482113}`))
}

func (s *startCounter) count(body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[string(body)]
}

// TestStartOnResetConnectionIsExecutedAtMostOnce resets the connection at each byte of a start and of its response.
func TestStartOnResetConnectionIsExecutedAtMostOnce(t *testing.T) {
	t.Parallel()
	for name, reused := range map[string]bool{"a new connection": false, "a connection used before": true} {
		convey.Convey("A start on "+name+" is executed at most once, and is unclear", t, func() {
			counter := &startCounter{executions: map[string]int{}}
			server := httptest.NewServer(counter)
			relay := resettest.New(t, server.Listener.Addr().String())
			send := func(attemptNumber uint64, resetAt resettest.Direction, after int) ([]byte, error) {
				client := NewHTTPClient()
				defer client.CloseIdleConnections()
				worker := newRPCClient(client, relay.Address(), "i-1", func() bool { return true })
				relay.ResetAt(resetAt, resettest.NoReset)
				if reused {
					_, err := worker.post(context.Background(), worker.renewal, []byte("{}"), eventTimeout)
					convey.So(err, convey.ShouldBeNil)
				}
				relay.ResetAt(resetAt, after)
				command := startCommand(0, attemptNumber)
				body := appendStart(nil, &command, time.Hour.Milliseconds(), 1)
				_, err := worker.post(context.Background(), worker.start, body, eventTimeout)
				return body, err
			}
			const firstAttemptNumber = 1000 // so that all calls have the same length
			_, err := send(firstAttemptNumber, resettest.Requests, resettest.NoReset)
			convey.So(err, convey.ShouldBeNil)
			lengths := [2]int{relay.ForwardedBytes(resettest.Requests), relay.ForwardedBytes(resettest.Responses)}
			attemptNumber, violations := uint64(firstAttemptNumber), 0
			var resetsInRequest [][]byte
			for _, resetAt := range []resettest.Direction{resettest.Requests, resettest.Responses} {
				for after := range lengths[resetAt] {
					attemptNumber++
					body, err := send(attemptNumber, resetAt, after)
					if err == nil || rpcerror.ExecutionOf(err) != rpcerror.MayHaveExecuted {
						violations++
						t.Errorf("reset after byte %d in direction %d: %v", after, resetAt, err)
					}
					if resetAt == resettest.Requests {
						resetsInRequest = append(resetsInRequest, body)
					} else if counter.count(body) != 1 {
						violations++
					}
				}
			}
			server.Close() // returns after all received calls have been executed
			for _, body := range resetsInRequest {
				if counter.count(body) != 0 {
					violations++
				}
			}
			convey.So(violations, convey.ShouldEqual, 0)
		})
	}
}

// TestStartsAreNotRetriedByNetHTTP uses a worker that executes a start and then closes the reused connection without a response.
// net/http retries some requests in this case.
func TestStartsAreNotRetriedByNetHTTP(t *testing.T) {
	t.Parallel()
	convey.Convey("A start whose response is cut off is not retried by net/http, whatever its headers are", t, func() {
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
		worker := newRPCClient(client, server.Listener.Addr().String(), "i-1", func() bool { return true })
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
