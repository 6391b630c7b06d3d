// Package resettest relays TCP connections on the loopback interface. Tests use it to reset a connection at each byte of a
// request and of its response.
package resettest

import (
	"net"
	"sync"
	"testing"
)

// Direction is a direction of a connection.
type Direction int

// Directions of a connection.
const (
	Requests  Direction = iota // from the client to the server
	Responses                  // from the server to the client
)

// NoReset is the offset for ResetAt that disables resets.
const NoReset = -1

// Relay forwards TCP connections to a target address. It counts the forwarded bytes and can reset a connection at an offset of
// one direction.
type Relay struct {
	listener net.Listener
	target   string

	mutex          sync.Mutex
	forwardedBytes [2]int // by Direction, since the last call of ResetAt
	resetDirection Direction
	resetOffset    int // in bytes, or NoReset
}

// New starts a relay to an address. The end of the test closes it.
func New(t testing.TB, target string) *Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &Relay{listener: listener, target: target, resetOffset: NoReset}
	go r.acceptConnections()
	return r
}

// Address returns the address on which the relay listens, host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// ResetAt sets the byte counts to 0. From then on, the relay forwards only offset bytes in the direction, and resets the
// connection instead of forwarding the next byte.
func (r *Relay) ResetAt(direction Direction, offset int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forwardedBytes, r.resetDirection, r.resetOffset = [2]int{}, direction, offset
}

// ForwardedBytes returns the number of bytes forwarded in a direction since the last call of ResetAt.
func (r *Relay) ForwardedBytes(direction Direction) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.forwardedBytes[direction]
}

// countForwarded returns how many of the received bytes to forward, and whether to reset the connection afterwards. It adds
// these bytes to the count.
func (r *Relay) countForwarded(direction Direction, received int) (forwarded int, reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	forwarded = received
	if r.resetOffset != NoReset && direction == r.resetDirection {
		forwarded = min(received, r.resetOffset-r.forwardedBytes[direction])
		reset = forwarded < received
	}
	r.forwardedBytes[direction] += forwarded
	return forwarded, reset
}

func (r *Relay) acceptConnections() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			return
		}
		ends := [2]*net.TCPConn{client.(*net.TCPConn), server.(*net.TCPConn)} //nolint:forcetypeassert // both are TCP connections
		go r.forward(Requests, ends[0], ends[1])
		go r.forward(Responses, ends[1], ends[0])
	}
}

func (r *Relay) forward(direction Direction, from, to *net.TCPConn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		received, err := from.Read(buffer)
		forwarded, reset := r.countForwarded(direction, received)
		if forwarded > 0 {
			if _, err := to.Write(buffer[:forwarded]); err != nil {
				return
			}
		}
		if reset {
			from.SetLinger(0)
			to.SetLinger(0)
		}
		if reset || err != nil {
			return
		}
	}
}
