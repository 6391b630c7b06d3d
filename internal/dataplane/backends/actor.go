package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

// messageKind is the kind of a message, each with the fields that count for it.
type messageKind uint8

const (
	messageListed messageKind = iota
	messageSend
	messageCancel
	messageProbe
	messageCloseIdle
	messageStop
	messageDialed          // era, connection, or why and text
	messageFrameWritten    // connection, frameType, calls: written to the last byte; at: when that began
	messageNotStarted      // connection, calls: not written and not to be any more
	messageFramePartial    // connection: a frame that is not here to its end
	messageFrameReceived   // connection, frameType, answer or text, at
	messageCorrupted       // connection, name of the call it may mean, at: nothing after it is read
	messageConnectionEnded // connection, why, text
)

// message is a message to an actor, from the policy's actor or from the actor's own connections.
type message struct {
	kind       messageKind
	frameType  byte
	entry      policy.Entry
	address    string
	separate   bool
	era        int
	newCalls   []aggregator.Call
	calls      []*call
	subquery   policy.SubqueryID
	no         policy.CallNo
	connection *connection
	answer     answer
	name       string
	reason     reason
	text       string
	at         time.Time
}

// actor has the calls, probes and connections of one backend. Its fields but in and ended belong to the goroutine of run.
type actor struct {
	hub            *Hub
	id             policy.BackendID
	in             *eventqueue.Queue[message]
	address        string
	stopped        bool
	draining       bool        // the list has it as not ready
	removed        bool        // the list no longer names it
	ended          atomic.Bool // run has returned
	era            int         // of the address
	connections    []*connection
	dials          int           // connects to this address
	dialsOfAllEras int           // connects to any
	waiting        []*sharedCall // for a connection
	calls          map[string]*call
	pendingProbe   *pendingProbe
	lastFrameAt    time.Time // last frame received on any connection
}

func (a *actor) run() {
	var messages []message
	timer := time.NewTimer(0)
	defer a.ended.Store(true)
	for !a.stopped && !a.removed || a.dialsOfAllEras > 0 || len(a.connections) > 0 || a.removed && len(a.calls) > 0 {
		select {
		case <-a.in.Ready():
		case <-timer.C:
		}
		messages = a.in.Take(messages)
		for i := range messages {
			a.handle(&messages[i])
		}
		if a.removed {
			a.closeIdle(reasonRemoved)
		}
		timer.Reset(time.Until(a.checkTimeouts(time.Now())))
	}
}

// handle handles a message.
func (a *actor) handle(n *message) {
	switch n.kind {
	case messageListed:
		a.updateEntry(n)
	case messageSend:
		a.send(n.newCalls)
	case messageCancel:
		a.cancelCall(n.subquery, n.no)
	case messageProbe:
		a.probe(n.at, n.separate)
	case messageCloseIdle:
		a.closeIdle(reasonRequested)
	case messageStop:
		a.stop()
	case messageDialed:
		a.handleDialed(n)
	case messageFrameWritten:
		a.handleFrameWritten(n)
	case messageNotStarted:
		a.endNotStarted(n.calls)
	case messageFramePartial:
		n.connection.partialFrame = true
	case messageFrameReceived:
		a.handleFrameReceived(n)
	case messageCorrupted:
		a.handleCorrupted(n.connection, n.name, n.reason, n.at)
	case messageConnectionEnded:
		a.handleConnectionEnded(n)
	}
}

// stop closes all connections; the actor ends once they have.
func (a *actor) stop() {
	a.stopped = true
	for _, conn := range a.connections {
		a.close(conn, reasonShutdown)
	}
}

// handleFrameWritten records that a frame was written to its last byte.
func (a *actor) handleFrameWritten(n *message) {
	n.connection.lastUsedAt = n.at
	switch {
	case n.frameType == frameCall:
		for _, c := range n.calls {
			c.written = true
		}
	case n.frameType == frameCancel:
		a.cancelWritten(n.connection, n.calls[0])
	case a.pendingProbe != nil && a.pendingProbe.connection == n.connection:
		a.pendingProbe.written = true
	}
}

// handleFrameReceived handles a valid frame, which shows that the connection is alive.
func (a *actor) handleFrameReceived(n *message) {
	conn := n.connection
	conn.lastUsedAt, conn.lastFrameAt, conn.partialFrame = n.at, n.at, false
	conn.silentSince, a.lastFrameAt = time.Time{}, n.at
	if !conn.unansweredSince.After(n.at) {
		conn.unansweredSince = time.Time{}
	}
	if n.frameType == frameAnswer {
		a.handleAnswer(n)
	} else {
		a.handleProbeAnswer(n)
	}
}

// updateEntry applies the list's entry. Connections to another address, or older than the backend's last start, lead to a
// process that has ended.
func (a *actor) updateEntry(n *message) {
	if a.draining = n.entry.Phase != policy.Ready; a.draining {
		a.revokeUnsent()
	}
	if a.removed = n.entry.Phase == policy.Removed; a.removed {
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
			a.close(conn, reasonAddressChanged)
		case float64(conn.opened.UnixNano())/1e9 < n.entry.StartedAt:
			a.close(conn, reasonRestarted)
		}
	}
}

// checkTimeouts ends calls, probes and connections whose time is up, and returns when to check again.
func (a *actor) checkTimeouts(now time.Time) time.Time {
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
		if !c.canceled && due(c.StopAt) {
			a.abandonCall(c, policy.TimedOut)
		}
	}
	if p := a.pendingProbe; p != nil && due(p.sentAt.Add(seconds(a.hub.settings.Connect))) {
		outcome := policy.TimedOut
		if p.connection == nil { // the connect that it waits for has the same time-out, and may end a moment later
			outcome = policy.NotConnected
		} else if p.written {
			a.recordTimeout(p.connection, p.sentAt, now)
		}
		a.endProbe(outcome, now, policy.Load{})
	}
	for _, conn := range a.connections {
		switch {
		case conn.closeReason != "":
		case !conn.silentSince.IsZero():
			// Its backend lives, and has had as long again as a probe to say something here: nobody waits any more.
			if a.idle(conn) || !a.lastFrameAt.Before(conn.silentSince) && due(conn.silentSince.Add(seconds(a.hub.settings.Connect))) {
				a.close(conn, reasonNoAnswer) // before any end on it is reported
				for _, c := range a.calls {
					if c.connection == conn {
						a.end(c, policy.TimedOut, now, answer{})
					}
				}
			}
		case !a.idle(conn):
		case a.hub.settings.Idle > 0 && due(conn.lastUsedAt.Add(a.idleLimit())):
			a.close(conn, reasonIdle)
		}
	}
	return next
}
