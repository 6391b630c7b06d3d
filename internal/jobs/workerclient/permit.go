package workerclient

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"
)

// The states of a permit. The last two are final.
const (
	unconnected int32 = iota // no connection yet
	connected                // the leader lease was not checked on the connection yet
	permitted                // the call may be sent
	withheld                 // the call must not be sent
)

// permit checks the leader lease immediately before a call is sent, because the lease may have expired while the call waited for its
// connection. net/http writes the headers of a call into a buffer, calls WroteHeaders, adds the body, and sends both. If the lease has
// expired, permit closes the connection in WroteHeaders, so that nothing is sent.
type permit struct {
	leaderLeaseValid func() bool
	state            atomic.Int32
	conn             net.Conn // connection of the current attempt to send; set before check is called
}

// connected records the connection of the call. net/http may replace it by another connection as long as nothing was sent.
func (p *permit) connected(info httptrace.GotConnInfo) {
	p.conn = info.Conn
	p.state.CompareAndSwap(unconnected, connected)
}

// check permits the call or withholds it. A withheld call stays withheld on any further connection.
func (p *permit) check() {
	nextState := permitted
	if !p.leaderLeaseValid() {
		nextState = withheld
	}
	p.state.CompareAndSwap(connected, nextState)
	if p.state.Load() == withheld || nextState == withheld {
		p.conn.Close()
	}
}

// notSent reports whether a failed call was certainly not sent, because it got no connection or was withheld.
func (p *permit) notSent() bool {
	state := p.state.Load()
	return state == unconnected || state == withheld
}
