package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http/httptrace"
	"sync"
)

// SendTracker records whether net/http has sent any byte of a request. Package net/http retries some requests by itself when a
// reused connection turns out to be broken. With a SendTracker, it retries only while no byte of the request has been written
// to that connection, independent of the method and headers of the request. SendTracker requires connections of DialFunc. It
// assumes that bytes were written to any other connection. The zero value is ready for one request.
type SendTracker struct {
	mutex         sync.Mutex
	sentElsewhere bool               // bytes may have been written to an earlier connection, or to one that doesn't count its writes
	connection    *writeCountingConn // the latest one of the request; nil before the first
	writesBefore  int64              // write count of connection before the request was written
}

// WithTrace returns a copy of ctx with the trace that the request must have.
func (s *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.GotConn})
}

// GotConn records the connection that the request is written to. Callers with their own httptrace.ClientTrace call GotConn from
// it instead of using WithTrace. Package net/http would combine two traces of a request by reflection, which is slow.
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

// mayHaveSent reports whether bytes of the request may have been sent. The caller must hold s.mutex.
func (s *SendTracker) mayHaveSent() bool {
	return s.sentElsewhere || s.connection != nil && s.connection.writes.Load() != s.writesBefore
}

// NothingSent reports whether no byte of the request was sent. If the request has failed, none will be sent later either.
func (s *SendTracker) NothingSent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.mayHaveSent()
}

// errAlreadySent prevents net/http from retrying a request.
var errAlreadySent = errors.New("the request may have been sent already")

// GetBody returns a function for http.Request.GetBody, which net/http calls before a retry. The function returns an error if
// bytes of the request may have been sent.
func (s *SendTracker) GetBody(body []byte) func() (io.ReadCloser, error) {
	return func() (io.ReadCloser, error) {
		if !s.NothingSent() {
			return nil, errAlreadySent
		}
		return io.NopCloser(bytes.NewReader(body)), nil
	}
}
