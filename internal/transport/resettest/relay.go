// Package resettest is a relay on the loopback for tests that reset connections at each byte of a call and of its answer.
package resettest

import (
	"net"
	"sync"
	"testing"
)

// Way is one of the two directions of a connection.
type Way int

const (
	Calls   Way = iota // from the caller
	Answers            // to the caller
)

// Never is the place of a reset that does not come.
const Never = -1

// Relay passes bytes on, counts them, and resets the connection after so many of one way.
type Relay struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	passed [2]int // since the last arming
	cut    Way
	after  int // bytes; Never for none
}

// New makes a relay to an address. It ends with the test.
func New(t testing.TB, target string) *Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &Relay{listener: listener, target: target, after: Never}
	go r.run()
	return r
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Arm counts anew, and resets the connection once so many bytes went that way and another one wants to.
func (r *Relay) Arm(cut Way, after int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passed, r.cut, r.after = [2]int{}, cut, after
}

// Passed is how many bytes went a way since the last arming.
func (r *Relay) Passed(way Way) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.passed[way]
}

// allow tells how many of some bytes may pass, and whether the connection is reset then.
func (r *Relay) allow(way Way, bytes int) (pass int, reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	pass = bytes
	if r.after != Never && way == r.cut {
		pass = min(bytes, r.after-r.passed[way])
		reset = pass < bytes
	}
	r.passed[way] += pass
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
		go r.pass(Calls, both[0], both[1])
		go r.pass(Answers, both[1], both[0])
	}
}

func (r *Relay) pass(way Way, from, to *net.TCPConn) {
	defer from.Close()
	defer to.Close()
	buffer := make([]byte, 4096)
	for {
		read, err := from.Read(buffer)
		pass, reset := r.allow(way, read)
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
