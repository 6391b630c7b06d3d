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
	connections map[net.Conn]bool // open connections
	accepted    int
}

// listen starts a server on a free loopback port. It panics if the machine has no loopback address to listen at.
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

// closeConnections closes the open connections. The server continues to listen.
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

// close stops the server. It does nothing for a worker without sockets.
func (s *server) close() {
	if s.http != nil {
		s.http.Close()
	}
}
