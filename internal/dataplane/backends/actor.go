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
	messageUpdateEntry messageKind = iota
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
	messageFrameCorrupted  // connection, name of the call it may mean, at: nothing after it is read
	messageConnectionEnded // connection, why, text
)

// message is a message to an actor, from the policy's actor or from the actor's own connections.
type message struct {
	kind         messageKind
	frameType    byte
	entry        policy.Entry
	address      string
	separate     bool
	addressEpoch int
	newCalls     []aggregator.Call
	calls        []*call
	subquery     policy.SubqueryID
	callNo       policy.CallNo
	connection   *connection
	answer       answer
	name         string
	reason       reason
	text         string
	at           time.Time
}

// actor has the calls, probes and connections of one backend. Its fields but in and ended belong to the goroutine of run.
type actor struct {
	hub             *Hub
	id              policy.BackendID
	inbox           *eventqueue.Queue[message]
	address         string
	stopped         bool
	draining        bool        // the list has it as not ready
	removed         bool        // the list no longer names it
	ended           atomic.Bool // run has returned
	addressEpoch    int         // of the address
	connections     []*connection
	dialsToAddress  int          // connects to this address
	dialsInProgress int          // connects to any
	waiting         []*callBatch // for a connection
	calls           map[string]*call
	pendingProbe    *pendingProbe
	lastFrameAt     time.Time // last frame received on any connection
}

func (a *actor) run() {
	var messages []message
	timer := time.NewTimer(0)
	defer a.ended.Store(true)
	for !a.stopped && !a.removed || a.dialsInProgress > 0 || len(a.connections) > 0 || a.removed && len(a.calls) > 0 {
		select {
		case <-a.inbox.Ready():
		case <-timer.C:
		}
		messages = a.inbox.Take(messages)
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
func (a *actor) handle(msg *message) {
	switch msg.kind {
	case messageUpdateEntry:
		a.updateEntry(msg)
	case messageSend:
		a.send(msg.newCalls)
	case messageCancel:
		a.cancelCall(msg.subquery, msg.callNo)
	case messageProbe:
		a.probe(msg.at, msg.separate)
	case messageCloseIdle:
		a.closeIdle(reasonRequested)
	case messageStop:
		a.stop()
	case messageDialed:
		a.handleDialed(msg)
	case messageFrameWritten:
		a.handleFrameWritten(msg)
	case messageNotStarted:
		a.endNotStarted(msg.calls)
	case messageFramePartial:
		msg.connection.partialFrame = true
	case messageFrameReceived:
		a.handleFrameReceived(msg)
	case messageFrameCorrupted:
		a.handleCorrupted(msg.connection, msg.name, msg.reason, msg.at)
	case messageConnectionEnded:
		a.handleConnectionEnded(msg)
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
func (a *actor) handleFrameWritten(msg *message) {
	msg.connection.lastUsedAt = msg.at
	switch {
	case msg.frameType == frameCall:
		for _, c := range msg.calls {
			c.written = true
		}
	case msg.frameType == frameCancel:
		a.cancelWritten(msg.connection, msg.calls[0])
	case a.pendingProbe != nil && a.pendingProbe.connection == msg.connection:
		a.pendingProbe.written = true
	}
}

// handleFrameReceived handles a valid frame, which shows that the connection is alive.
func (a *actor) handleFrameReceived(msg *message) {
	conn := msg.connection
	conn.lastUsedAt, conn.lastFrameAt, conn.partialFrame = msg.at, msg.at, false
	conn.unresponsiveSince, a.lastFrameAt = time.Time{}, msg.at
	if !conn.unansweredSince.After(msg.at) {
		conn.unansweredSince = time.Time{}
	}
	if msg.frameType == frameAnswer {
		a.handleAnswer(msg)
	} else {
		a.handleProbeAnswer(msg)
	}
}

// updateEntry applies the list's entry. Connections to another address, or older than the backend's last start, lead to a
// process that has ended.
func (a *actor) updateEntry(msg *message) {
	if a.draining = msg.entry.Phase != policy.Ready; a.draining {
		a.revokeUnsent()
	}
	if a.removed = msg.entry.Phase == policy.Removed; a.removed {
		return
	}
	if msg.address != a.address { // connects to the old one are no use
		a.address, a.dialsToAddress = msg.address, 0
		a.addressEpoch++
		defer a.assign()
	}
	for _, conn := range a.connections {
		switch {
		case conn.address != a.address:
			a.close(conn, reasonAddressChanged)
		case float64(conn.opened.UnixNano())/1e9 < msg.entry.StartedAt:
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
		if !c.canceled && due(c.Stop) {
			a.abandonCall(c, policy.TimedOut)
		}
	}
	if p := a.pendingProbe; p != nil && due(p.sentAt.Add(seconds(a.hub.settings.ConnectTimeoutS))) {
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
		case !conn.unresponsiveSince.IsZero():
			// Its backend lives, and has had as long again as a probe to say something here: nobody waits any more.
			if a.idle(conn) || !a.lastFrameAt.Before(conn.unresponsiveSince) && due(conn.unresponsiveSince.Add(seconds(a.hub.settings.ConnectTimeoutS))) {
				a.close(conn, reasonNoAnswer) // before any end on it is reported
				for _, c := range a.calls {
					if c.connection == conn {
						a.end(c, policy.TimedOut, now, answer{})
					}
				}
			}
		case !a.idle(conn):
		case a.hub.settings.IdleTimeoutS > 0 && due(conn.lastUsedAt.Add(a.idleLimit())):
			a.close(conn, reasonIdle)
		}
	}
	return next
}
