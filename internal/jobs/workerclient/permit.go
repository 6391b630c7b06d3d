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

// permit looks at the lease at the last moment before a call is sent, as it may have waited for its connection until the
// lease was over. net/http writes a call's headers into a buffer, tells of that, adds the body, and sends both: a call
// without a permit is kept back by closing its connection in between.
type permit struct {
	leaderLeaseValid func() bool
	state            atomic.Int32
	conn             net.Conn // of the present attempt; set before check is called for it
}

// connected notes the connection that the call will be sent on. net/http may replace it by another while nothing was sent.
func (p *permit) connected(info httptrace.GotConnInfo) {
	p.conn = info.Conn
	p.state.CompareAndSwap(unconnected, connected)
}

// check lets the call pass or keeps it back. One that was kept back stays so on any further connection.
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
