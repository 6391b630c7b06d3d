package transport_test

import (
	"net"
	"sync"
	"testing"
)

// way is one of the two directions of a connection.
type way int

const (
	calls   way = iota // from the caller
	answers            // to the caller
)

// relay passes bytes on, counts them, and resets the connection after so many of one way.
type relay struct {
	listener net.Listener
	target   string

	mutex  sync.Mutex
	passed [2]int // since the last arming
	cut    way
	after  int // bytes; never for none
}

const never = -1

func newRelay(t *testing.T, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	r := &relay{listener: listener, target: target, after: never}
	go r.run()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// arm counts anew, and resets the connection once so many bytes went that way and another one wants to.
func (r *relay) arm(cut way, after int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.passed, r.cut, r.after = [2]int{}, cut, after
}

func (r *relay) count(way way) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.passed[way]
}

// allow tells how many of some bytes may pass, and whether the connection is reset then.
func (r *relay) allow(way way, bytes int) (pass int, reset bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	pass = bytes
	if r.after != never && way == r.cut {
		pass = min(bytes, r.after-r.passed[way])
		reset = pass < bytes
	}
	r.passed[way] += pass
	return pass, reset
}

func (r *relay) run() {
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
		go r.pass(calls, both[0], both[1])
		go r.pass(answers, both[1], both[0])
	}
}

func (r *relay) pass(way way, from, to *net.TCPConn) {
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
