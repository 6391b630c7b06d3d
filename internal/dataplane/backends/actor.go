package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

type noteKind uint8

const (
	named noteKind = iota
	send
	withdraw
	probe
	closeIdle
	stop
	dialled         // era, connection, or why and text
	frameWritten    // connection, frameType, calls: written to the last byte; at: when that began
	notBegun        // connection, calls: not written and not to be any more
	framePartial    // connection: a frame that is not here to its end
	frameReceived   // connection, frameType, answer or text, at
	corrupted       // connection, name of the call it may mean, at: nothing after it is read
	connectionEnded // connection, why, text
)

// note is what an actor hears, from the module's or from its own connections.
type note struct {
	kind       noteKind
	frameType  byte
	entry      policy.Entry
	address    string
	apart      bool
	era        int
	new        []aggregator.Call
	calls      []*call
	subquery   policy.SubqueryID
	no         policy.CallNo
	connection *connection
	answer     answer
	name       string
	why        reason
	text       string
	at         time.Time
}

// actor speaks with one backend.
type actor struct {
	hub          *Hub
	id           policy.BackendID
	in           *eventqueue.Queue[note]
	address      string
	stopped      bool
	closed       bool        // the list says that it wants nothing new
	gone         bool        // the list no longer names it
	over         atomic.Bool // it has ended
	era          int         // of the address
	connections  []*connection
	dials        int     // connects to this address
	dialling     int     // connects to any
	waiting      []*trip // for a connection with room
	calls        map[string]*call
	pendingProbe *pendingProbe
	heard        time.Time // last frame that came on any connection
}

func (a *actor) run() {
	var notes []note
	timer := time.NewTimer(0)
	defer a.over.Store(true)
	for !a.stopped && !a.gone || a.dialling > 0 || len(a.connections) > 0 || a.gone && len(a.calls) > 0 {
		select {
		case <-a.in.Ready():
		case <-timer.C:
		}
		notes = a.in.Take(notes)
		for i := range notes {
			a.hear(&notes[i])
		}
		if a.gone {
			a.closeIdle(whyUnnamed)
		}
		timer.Reset(time.Until(a.watch(time.Now())))
	}
}

func (a *actor) hear(n *note) {
	switch n.kind {
	case named:
		a.named(n)
	case send:
		a.send(n.new)
	case withdraw:
		a.withdraw(n.subquery, n.no)
	case probe:
		a.probe(n.at, n.apart)
	case closeIdle:
		a.closeIdle(whyAsked)
	case stop:
		a.stop()
	case dialled:
		a.dialled(n)
	case frameWritten:
		a.frameWritten(n)
	case notBegun:
		a.notBegun(n.calls)
	case framePartial:
		n.connection.half = true
	case frameReceived:
		a.frameReceived(n)
	case corrupted:
		a.corrupted(n.connection, n.name, n.why, n.at)
	case connectionEnded:
		a.connectionEnded(n)
	}
}

// stop closes all connections; the actor ends once they have.
func (a *actor) stop() {
	a.stopped = true
	for _, conn := range a.connections {
		a.close(conn, whyShutdown)
	}
}

// frameWritten notes that a frame is on its way to the last byte.
func (a *actor) frameWritten(n *note) {
	n.connection.used = n.at
	switch {
	case n.frameType == frameCall:
		for _, c := range n.calls {
			c.written = true
		}
	case n.frameType == frameCancel:
		a.gaveUp(n.connection, n.calls[0])
	case a.pendingProbe != nil && a.pendingProbe.connection == n.connection:
		a.pendingProbe.written = true
	}
}

// frameReceived takes a frame that can be read: the connection is not silent.
func (a *actor) frameReceived(n *note) {
	conn := n.connection
	conn.used, conn.heard, conn.half = n.at, n.at, false
	conn.silentSince, a.heard = time.Time{}, n.at
	if !conn.asked.After(n.at) {
		conn.asked = time.Time{}
	}
	if n.frameType == frameAnswer {
		a.answered(n)
	} else {
		a.alive(n)
	}
}

// named takes what the list says. Connections to another address, or older than the backend's last start, lead to a
// process that is no more.
func (a *actor) named(n *note) {
	if a.closed = n.entry.Phase != policy.Ready; a.closed {
		a.unsend()
	}
	if a.gone = n.entry.Phase == policy.Removed; a.gone {
		return
	}
	if n.address != a.address { // connects to the old one are no use
		a.address, a.dials = n.address, 0
		a.era++
		defer a.assign()
	}
	for _, conn := range a.connections {
		switch {
		case conn.address != a.address:
			a.close(conn, whyMoved)
		case float64(conn.opened.UnixNano())/1e9 < n.entry.StartedAt:
			a.close(conn, whyRestarted)
		}
	}
}

// watch ends what has waited its time, and tells when to look again.
func (a *actor) watch(now time.Time) time.Time {
	next := now.Add(time.Hour)
	due := func(at time.Time) bool {
		if at.After(now) {
			if at.Before(next) {
				next = at
			}
			return false
		}
		return true
	}
	for _, c := range a.calls {
		if !c.back && due(c.Stop) {
			a.giveUp(c, policy.TimedOut)
		}
	}
	if p := a.pendingProbe; p != nil && due(p.since.Add(seconds(a.hub.set.Connect))) {
		how := policy.TimedOut
		if p.connection == nil { // the connect that it waits for has as long, and may be told a moment later
			how = policy.NotConnected
		} else if p.written {
			a.unanswered(p.connection, p.since, now)
		}
		a.probed(how, now, policy.Load{})
	}
	for _, conn := range a.connections {
		switch {
		case conn.closing != "":
		case !conn.silentSince.IsZero():
			// Its backend lives, and has had as long again as a probe to say something here: nobody waits any more.
			if a.idle(conn) || !a.heard.Before(conn.silentSince) && due(conn.silentSince.Add(seconds(a.hub.set.Connect))) {
				a.close(conn, whySilent) // before any end on it is told
				for _, c := range a.calls {
					if c.connection == conn {
						a.end(c, policy.TimedOut, now, answer{})
					}
				}
			}
		case !a.idle(conn):
		case a.hub.set.Idle > 0 && due(conn.used.Add(a.idleLimit())):
			a.close(conn, whyIdle)
		}
	}
	return next
}
