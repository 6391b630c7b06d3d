package cluster

import (
	"net"
	"net/http"
	"sync"
)

// server is an HTTP server on a loopback address that counts its connections.
type server struct {
	http    *http.Server
	address string

	mu          sync.Mutex
	connections map[net.Conn]bool // the open ones
	accepted    int
}

// listen starts to serve. Only a machine without loopback addresses makes it panic.
func listen(handler http.Handler) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s := &server{address: listener.Addr().String(), connections: make(map[net.Conn]bool)}
	s.http = &http.Server{Handler: handler, ConnState: s.track}
	go func() { _ = s.http.Serve(listener) }() // until close
	return s
}

func (s *server) track(connection net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.accepted++
		s.connections[connection] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.connections, connection)
	}
}

// closeConnections ends the open connections.
func (s *server) closeConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.connections {
		connection.Close()
	}
}

func (s *server) acceptedConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// close ends all that listens; without sockets there is nothing to end.
func (s *server) close() {
	if s.http != nil {
		s.http.Close()
	}
}
