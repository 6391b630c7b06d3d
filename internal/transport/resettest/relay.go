// Package resettest is a relay on the loopback for tests that reset connections at each byte of a call and of its answer.
package resettest

import (
	"net"
	"sync"
	"testing"
)

// Direction is one of the two directions of a connection.
type Direction int

const (
	Requests  Direction = iota // from the caller
	Responses                  // to the caller
)

// NoReset is the place of a reset that does not come.
const NoReset = -1

// Relay passes bytes on, counts them, and resets the connection after so many of one way.
type Relay struct {
	listener net.Listener
	target   string

	mutex          sync.Mutex
	passed         [2]int // since the last arming
	resetDirection Direction
	resetOffset    int // bytes; Never for none
}

// New makes a relay to an address. It ends with the test.
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

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Arm counts anew, and resets the connection once so many bytes went that way and another one wants to.
func (r *Relay) Arm(direction Direction, offset int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passed, r.resetDirection, r.resetOffset = [2]int{}, direction, offset
}

// Passed is how many bytes went a way since the last arming.
func (r *Relay) Passed(direction Direction) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.passed[direction]
}

// allow tells how many of some bytes may pass, and whether the connection is reset then.
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
		both := [2]*net.TCPConn{caller.(*net.TCPConn), callee.(*net.TCPConn)}
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
