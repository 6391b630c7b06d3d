package lab

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// Relay passes connections of clients on to the front. It can lose answers on their way back.
type Relay struct {
	listener net.Listener
	front    string
	losing   atomic.Bool
}

// StartRelay starts a relay between the clients and the front.
func (l *Lab) StartRelay() (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	relay := &Relay{listener: listener, front: l.address(frontHost, frontOffset)}
	l.relay = listener.Addr().String()
	go relay.accept()
	return relay, nil
}

// LoseAnswers sets whether answers get lost: the client then hears nothing until its deadline.
func (r *Relay) LoseAnswers(lose bool) { r.losing.Store(lose) }

// Close stops the relay.
func (r *Relay) Close() { r.listener.Close() }

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(client)
	}
}

// pass passes one connection on until either side closes it.
func (r *Relay) pass(client net.Conn) {
	defer client.Close()
	front, err := net.Dial("tcp", r.front)
	if err != nil {
		return
	}
	defer front.Close()
	go func() {
		_, _ = io.Copy(front, client) // ends with the connection
		front.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		count, err := front.Read(buffer)
		if err != nil {
			return
		}
		if r.losing.Load() {
			continue
		}
		if _, err := client.Write(buffer[:count]); err != nil {
			return
		}
	}
}
