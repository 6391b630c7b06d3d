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
	requestReadTimeout = 30 * time.Second      // maximum time to read a request with its body
	acceptBackoff      = 50 * time.Millisecond // delay after a failed accept; file descriptors may be free afterwards
)

// clientServer accepts clients' connections. It serves each one under the limits that applied when it was accepted.
type clientServer struct {
	handler  http.Handler
	tracker  *connectionTracker
	listener net.Listener
	log      *zap.Logger

	mutex   sync.Mutex
	limits  Limits
	handoff *handoffListener // listener of the HTTP server for new connections
	closed  bool
}

func newClientServer(listener net.Listener, handler http.Handler, tracker *connectionTracker, log *zap.Logger) *clientServer {
	server := &clientServer{handler: handler, tracker: tracker, listener: listener, log: log}
	server.setLimits(Limits{}.withDefaults())
	return server
}

// setLimits sets the limits for new connections. An http.Server reads its limits while it serves, so they cannot be
// changed: new limits need a new http.Server. Open connections stay with the previous one.
func (s *clientServer) setLimits(limits Limits) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || (s.handoff != nil && limits == s.limits) {
		return
	}
	previous := s.handoff
	s.limits = limits
	s.handoff = newHandoffListener(s.listener.Addr())
	server := &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		ReadTimeout:       requestReadTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.HeaderBytes,
		ConnState:         s.tracker.observe,
		ErrorLog:          zap.NewStdLog(s.log.WithOptions(zap.IncreaseLevel(zap.WarnLevel))),
	}
	handoff := s.handoff
	go func() { _ = server.Serve(handoff) }() // returns when setLimits or close closes the handoff listener
	if previous != nil {
		previous.cancel()
	}
}

// accept accepts connections until the listener is closed. It closes connections beyond the maximum at once.
func (s *clientServer) accept() {
	for {
		connection, err := s.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.log.Warn("accept failed", zap.Error(err))
			time.Sleep(acceptBackoff)
		case s.tracker.full():
			connection.Close()
		default:
			s.serve(connection)
		}
	}
}

// serve passes a connection to the HTTP server for new connections. It closes the connection if there is none any more.
func (s *clientServer) serve(connection net.Conn) {
	for {
		s.mutex.Lock()
		handoff := s.handoff
		s.mutex.Unlock()
		if handoff.handOff(connection) {
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

// close stops accepting connections. Open connections are not closed.
func (s *clientServer) close() {
	s.listener.Close()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.handoff.cancel()
}

// handoffListener is a net.Listener for connections that another listener has accepted.
type handoffListener struct {
	address     net.Addr
	connections chan net.Conn
	ctx         context.Context // canceled when the listener is closed
	cancel      context.CancelFunc
}

func newHandoffListener(address net.Addr) *handoffListener {
	ctx, cancel := context.WithCancel(context.Background())
	return &handoffListener{address: address, connections: make(chan net.Conn), ctx: ctx, cancel: cancel}
}

// handOff passes a connection to the caller of Accept. It returns false if the listener is closed.
func (l *handoffListener) handOff(connection net.Conn) bool {
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
