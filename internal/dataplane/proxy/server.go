package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	requestTimeout = 30 * time.Second // to read a request with its body
	acceptBackoff  = 50 * time.Millisecond
)

// frontServer accepts clients' connections and serves each under the limits that were in force when it was accepted.
type frontServer struct {
	handler  http.Handler
	tracker  *connectionTracker
	listener net.Listener
	log      *zap.Logger

	mutex   sync.Mutex
	limits  Limits
	handoff *handoffListener // of the server for new connections
	closed  bool
}

func newFrontServer(listener net.Listener, handler http.Handler, tracker *connectionTracker, log *zap.Logger) *frontServer {
	server := &frontServer{handler: handler, tracker: tracker, listener: listener, log: log}
	server.setLimits(Limits{}.withDefaults())
	return server
}

// setLimits puts limits in force for new connections. net/http reads a server's limits while it serves, so other limits
// need another server; connections that are open stay with theirs.
func (s *frontServer) setLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || (s.handoff != nil && limits == s.limits) {
		return
	}
	before := s.handoff
	s.limits = limits
	s.handoff = newHandoffListener(s.listener.Addr())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       requestTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         s.tracker.observe,
		ErrorLog:          zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	handoff := s.handoff
	go func() { _ = server.Serve(handoff) }() // until the listener is closed, here or by close
	if before != nil {
		before.cancel()
	}
}

// accept takes connections until the listener is closed.
func (s *frontServer) accept() {
	for {
		connection, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptBackoff) // descriptors may be free then
		case s.tracker.full():
			connection.Close()
		default:
			s.serve(connection)
		}
	}
}

// serve hands a connection to the server for new connections.
func (s *frontServer) serve(connection net.Conn) {
	for {
		s.mutex.Lock()
		handoff := s.handoff
		s.mutex.Unlock()
		if handoff.give(connection) {
			return
		}
		s.mutex.Lock()
		closed := s.closed
		s.mutex.Unlock()
		if closed {
			connection.Close()
			return
		}
	}
}

// close ends accepting. Connections that are open stay.
func (s *frontServer) close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.handoff.cancel()
}

// handoffListener is a net.Listener of connections that were accepted elsewhere.
type handoffListener struct {
	address     net.Addr
	connections chan net.Conn
	ctx         context.Context // ends with the listener
	cancel      context.CancelFunc
}

func newHandoffListener(address net.Addr) *handoffListener {
	ctx, cancel := context.WithCancel(context.Background())
	return &handoffListener{address: address, connections: make(chan net.Conn), ctx: ctx, cancel: cancel}
}

// give hands a connection to the accepting server; it returns false when the listener is closed.
func (l *handoffListener) give(connection net.Conn) bool {
	select {
	case l.connections <- connection:
		return true
	case <-l.ctx.Done():
		return false
	}
}

// Accept implements net.Listener.
func (l *handoffListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *handoffListener) Close() error {
	l.cancel()
	return nil
}

// Addr implements net.Listener.
func (l *handoffListener) Addr() net.Addr { return l.address }
