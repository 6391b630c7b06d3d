package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

// messageKind is the kind of a message. The comments of the constants list the fields that are set for a kind.
type messageKind uint8

const (
	messageUpdateEntry messageKind = iota // entry, address
	messageSend                           // newCalls
	messageCancel                         // subquery, callNumber
	messageProbe                          // at, separate
	messageCloseIdle
	messageStop
	messageDialed          // addressEpoch, and connection if the dial succeeded or else address, reason and text
	messageFrameWritten    // connection, frameType and calls of a frame that was written completely; at: when its write began
	messageWriteRevoked    // connection, calls: calls that were not written and never will be
	messageFramePartial    // connection: a frame has arrived only in part
	messageFrameReceived   // connection, frameType, at, and answer or text
	messageFrameCorrupted  // connection, reason, at, and name if the corrupt frame may name a call; the reader stops after it
	messageConnectionEnded // connection, reason, text
)

// message is a message to an actor, sent by the policy's actor or by the actor's own connections.
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
	callNumber   policy.CallNumber
	connection   *connection
	answer       answer
	name         string
	reason       reason
	text         string
	at           time.Time
}

// actor manages the calls, probes and connections of one backend. Only the goroutine of run accesses its fields, except for
// inbox and ended, which are safe for concurrent use, and hub and id, which never change.
type actor struct {
	hub             *Hub
	id              policy.BackendID
	inbox           *eventqueue.Queue[message]
	address         string
	stopped         bool
	draining        bool        // the list does not have the backend as ready
	removed         bool        // the list no longer contains the backend
	ended           atomic.Bool // run has returned
	addressEpoch    int         // number of the address, incremented when the address changes
	connections     []*connection
	dialsToAddress  int              // dials in progress to the current address
	dialsInProgress int              // dials in progress to any address
	waiting         []*callBatch     // batches that wait for a connection
	calls           map[string]*call // by name on the wire
	pendingProbe    *pendingProbe    // nil if no probe is in flight
	lastFrameAt     time.Time        // when the last frame was received on any connection
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

// handle dispatches a message by its kind.
func (a *actor) handle(msg *message) {
	switch msg.kind {
	case messageUpdateEntry:
		a.updateEntry(msg)
	case messageSend:
		a.send(msg.newCalls)
	case messageCancel:
		a.cancelCall(msg.subquery, msg.callNumber)
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
	case messageWriteRevoked:
		a.endRevoked(msg.calls)
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

// stop closes all connections. The actor ends once all of them have ended.
func (a *actor) stop() {
	a.stopped = true
	for _, conn := range a.connections {
		a.close(conn, reasonShutdown)
	}
}

// handleFrameWritten records that a frame was written completely.
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

// handleFrameReceived handles a valid frame. Any valid frame shows that the connection is alive.
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

// updateEntry applies an entry of the list. It closes connections to another address and connections opened before the
// backend's last start, because the process at their other end has ended.
func (a *actor) updateEntry(msg *message) {
	if a.draining = msg.entry.Phase != policy.Ready; a.draining {
		a.revokeUnsent()
	}
	if a.removed = msg.entry.Phase == policy.Removed; a.removed {
		return
	}
	if msg.address != a.address { // dials to the old address are useless now
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

// checkTimeouts ends calls, probes and connections whose timeout has expired, and returns the time of the next check.
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
	if p := a.pendingProbe; p != nil && due(p.sentAt.Add(seconds(a.hub.settings.ConnectTimeoutS))) {
		outcome := policy.TimedOut
		if p.connection == nil { // the probe waits for a dial, whose timeout is equal and may expire slightly later
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
			// Closes an unresponsive connection if nothing is in flight on it. Closes it as well if the backend has answered on
			// another connection since, and this one has stayed unresponsive for another probe timeout.
			if a.idle(conn) || !a.lastFrameAt.Before(conn.unresponsiveSince) && due(conn.unresponsiveSince.Add(seconds(a.hub.settings.ConnectTimeoutS))) {
				a.close(conn, reasonNoAnswer) // before its calls' ends are reported, so that no retry uses it
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
