// Package resettest relays TCP connections on the loopback interface, for tests that reset a connection at each byte of a
// request and of its response.
package resettest

import (
	"net"
	"sync"
	"testing"
)

// Direction is one of the two directions of a connection.
type Direction int

// The directions.
const (
	Requests  Direction = iota // from the client
	Responses                  // to the client
)

// NoReset is the offset for Arm by which connections are not reset.
const NoReset = -1

// Relay forwards and counts bytes, and resets the connection at an offset of one direction.
type Relay struct {
	listener net.Listener
	target   string

	mutex          sync.Mutex
	passed         [2]int // bytes by Direction since the last Arm
	resetDirection Direction
	resetOffset    int // in bytes, or NoReset
}

// New makes a relay to an address. It is closed at the end of the test.
func New(t testing.TB, target string) *Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &Relay{listener: listener, target: target, resetOffset: NoReset}
	go r.run()
	return r
}

// Address is where the relay listens, host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Arm starts to count from 0, and has the connection reset when a byte beyond the offset is to be forwarded in that direction.
func (r *Relay) Arm(direction Direction, offset int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passed, r.resetDirection, r.resetOffset = [2]int{}, direction, offset
}

// Passed is how many bytes were forwarded in a direction since the last Arm.
func (r *Relay) Passed(direction Direction) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.passed[direction]
}

// allow tells how many of some bytes are forwarded, and whether the connection is reset then.
func (r *Relay) allow(direction Direction, bytes int) (pass int, reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	pass = bytes
	if r.resetOffset != NoReset && direction == r.resetDirection {
		pass = min(bytes, r.resetOffset-r.passed[direction])
		reset = pass < bytes
	}
	r.passed[direction] += pass
	return pass, reset
}

func (r *Relay) run() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		callee, err := net.Dial("tcp", r.target)
		if err != nil {
			caller.Close()
			return
		}
		both := [2]*net.TCPConn{caller.(*net.TCPConn), callee.(*net.TCPConn)} //nolint:forcetypeassert // of a listener and a dial by TCP
		go r.pass(Requests, both[0], both[1])
		go r.pass(Responses, both[1], both[0])
	}
}

func (r *Relay) pass(direction Direction, from, to *net.TCPConn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		read, err := from.Read(buffer)
		pass, reset := r.allow(direction, read)
		if pass > 0 {
			if _, err := to.Write(buffer[:pass]); err != nil {
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
