package workerclient

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// The states of a permit. The last two are for good.
const (
	unconnected int32 = iota
	connected
	permitted
	withheld
)

// permit checks the leader lease at the last moment before a call is sent, as the call may have waited for its connection until the
// lease was over. net/http writes the headers of a call into a buffer, calls WroteHeaders, adds the body, and sends both: a call
// without a permit is withheld by closing its connection in between.
type permit struct {
	leaderLeaseValid func() bool
	state            atomic.Int32
	conn             net.Conn // of the present attempt; set before check is called for it
}

// connected records the connection that the call will be sent on. net/http may replace it by another one while nothing was sent.
func (p *permit) connected(info httptrace.GotConnInfo) {
	p.conn = info.Conn
	p.state.CompareAndSwap(unconnected, connected)
}

// check lets the call pass or withholds it. One that was withheld stays so on any further connection.
func (p *permit) check() {
	next := permitted
	if !p.leaderLeaseValid() {
		next = withheld
	}
	p.state.CompareAndSwap(connected, next)
	if p.state.Load() == withheld || next == withheld {
		p.conn.Close()
	}
}

// unsent reports whether a call that has failed was certainly not sent: it got no connection, or no permit.
func (p *permit) unsent() bool {
	state := p.state.Load()
	return state == unconnected || state == withheld
}
