package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync"
)

// SendTracker follows one request on its way through net/http. That package retries some requests by itself when a reused
// connection turns out to be broken. A SendTracker allows this only while no byte of the request has been written to that
// connection, whatever the request's method and headers are. It works on connections of DialFunc; any other counts as written
// to. The zero value is ready for one request.
type SendTracker struct {
	mutex         sync.Mutex
	sentElsewhere bool               // bytes were written to an earlier connection, or to one that does not count its writes
	connection    *writeCountingConn // the newest one of the request
	writesBefore  int64              // of connection, when it was taken for the request
}

// WithTrace returns the context that the request must have.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.GotConn})
}

// GotConn notes the connection that the request is written to. Callers with an httptrace.ClientTrace of their own call it
// there instead of using WithTrace, as net/http would join two traces of a request by reflection, which is slow.
func (s *SendTracker) GotConn(info httptrace.GotConnInfo) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sentElsewhere = s.mayHaveSent()
	countingConn, ok := info.Conn.(*writeCountingConn)
	if !ok {
		s.sentElsewhere = true
		return
	}
	s.connection, s.writesBefore = countingConn, countingConn.writes.Load()
}

// mayHaveSent needs the mutex.
func (s *SendTracker) mayHaveSent() bool {
	return s.sentElsewhere || s.connection != nil && s.connection.writes.Load() != s.writesBefore
}

// NothingSent tells, once the request has failed, that no byte of it was or will be sent.
func (s *SendTracker) NothingSent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.mayHaveSent()
}

// errAlreadySent keeps net/http from retrying a request.
var errAlreadySent = errors.New("the request may have been sent already")

// GetBody returns a function for http.Request.GetBody, by which net/http gets the body for a retry: it fails once bytes of
// the request may have been sent.
func (s *SendTracker) GetBody(body []byte) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) {
		if !s.NothingSent() {
			return nil, errAlreadySent
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
}
