package backends

import (
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/policy"
)

// idle tells whether nothing is in flight on a connection.
func (a *actor) idle(conn *connection) bool {
	return conn.batchesInFlight == 0 && (a.pendingProbe == nil || a.pendingProbe.connection != conn)
}

// closeIdle closes all idle connections.
func (a *actor) closeIdle(cause reason) {
	for _, conn := range a.connections {
		if a.idle(conn) {
			a.close(conn, cause)
		}
	}
}

// close closes a connection; calls in flight on it end once its goroutines have reported all they know.
func (a *actor) close(conn *connection, cause reason) {
	if conn.closeReason != "" {
		return
	}
	conn.closeReason = cause
	if conn.batchesInFlight > 0 && (cause == reasonAddressChanged || cause == reasonRestarted) { // the process before may have answered
		conn.finish()
	} else {
		conn.socket.Close()
	}
}

// connectionFor finds a connection for a shared call. One on which a call of the same name was canceled can't be used: its
// late answer could not be told from the new one's.
func (a *actor) connectionFor(batch *callBatch) *connection {
	for _, conn := range a.connections {
		if !a.usable(conn) || a.hub.settings.CallsPerConnection > 0 && conn.batchesInFlight >= a.hub.settings.CallsPerConnection {
			continue
		}
		if !slices.ContainsFunc(batch.calls, func(c *call) bool { return !conn.canceledUntil[c.name].IsZero() }) {
			return conn
		}
	}
	return nil
}

// usable tells whether a connection may carry new calls and probes. One that has become unresponsive can't be told from an
// unresponsive backend but by another connection, and a backend that is alive must not be lost with its connection.
func (a *actor) usable(conn *connection) bool {
	return conn.closeReason == "" && !conn.partialFrame && conn.unresponsiveSince.IsZero() && !a.nearIdleClose(conn)
}

// recordTimeout records that a connection had no answer in time to what was sent on it. That time is at least a probe's, as a
// client's time-out may be next to nothing.
func (a *actor) recordTimeout(conn *connection, sentAt, now time.Time) {
	if conn.lastFrameAt.Before(sentAt) && now.Sub(sentAt) >= seconds(a.hub.settings.ConnectTimeoutS) {
		a.markUnresponsive(conn, now)
	}
}

// markSilent starts the final time-out of an unresponsive connection, and sends a probe on it, which a backend answers at once
// however long its calls wait. Without the probe, slow backends lost connection after connection, and the work done on them.
func (a *actor) markUnresponsive(conn *connection, now time.Time) {
	if conn.closeReason != "" || !conn.unresponsiveSince.IsZero() {
		return
	}
	conn.unresponsiveSince = now
	conn.out.Put(outgoing{frameType: a.probeFrame()})
}

// expectAnswer records that a frame is passed to a connection. The time counts from here and not from the writer's report: on a
// busy machine that may come after the answer of a probe on another connection, which would then find nothing unanswered here.
func (conn *connection) expectAnswer(now time.Time) {
	if conn.unansweredSince.IsZero() {
		conn.unansweredSince = now
	}
}

// nearIdleClose tells whether the backend may close an idle connection before a frame gets there, which may take as long as a
// connect.
func (a *actor) nearIdleClose(conn *connection) bool {
	idle := a.hub.settings.IdleTimeoutS
	return idle > 0 && a.idle(conn) && time.Since(conn.lastUsedAt) >= a.idleLimit()
}

// idleLimit is how long an idle connection is kept; where a connect may take nearly all of the idle time, half of that.
func (a *actor) idleLimit() time.Duration {
	return seconds(max(a.hub.settings.IdleTimeoutS-a.hub.settings.ConnectTimeoutS, a.hub.settings.IdleTimeoutS/2))
}

// dialsNeeded is the number of dials in progress that the waiting calls and the pending probe need.
func (a *actor) dialsNeeded() int {
	needed, callsPerConnection := len(a.waiting), a.hub.settings.CallsPerConnection
	if needed > 0 && callsPerConnection > 0 {
		needed = (needed + callsPerConnection - 1) / callsPerConnection
	} else if needed > 0 {
		needed = 1
	}
	if a.pendingProbe != nil && a.pendingProbe.connection == nil {
		needed = max(needed, 1)
	}
	return needed
}

// dial dials a connection in a goroutine of its own, if a descriptor is free.
func (a *actor) dial() {
	a.dialsToAddress++
	a.dialsInProgress++
	a.hub.counters.Add("lines", "dialled", 1)
	address, era, timeout := a.address, a.addressEpoch, seconds(a.hub.settings.ConnectTimeoutS)
	select {
	case a.hub.descriptorSlots <- struct{}{}:
	default:
		a.inbox.Put(message{kind: messageDialed, addressEpoch: era, address: address, reason: reasonNoDescriptor})
		return
	}
	go func() {
		lastMessage := a.connect(address, era, timeout)
		<-a.hub.descriptorSlots // before the end is reported: its handler may need the descriptor
		a.inbox.Put(lastMessage)
	}()
}

// connect dials, and serves the connection where one comes up. It returns the last message of either, which the caller has to send.
func (a *actor) connect(address string, era int, timeout time.Duration) (lastMessage message) {
	socket, err := a.hub.dialer(a.hub.dialContext, timeout, address)
	if err != nil {
		cause := reasonConnectRefused
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			cause = reasonConnectTimeout
		}
		return message{kind: messageDialed, addressEpoch: era, address: address, reason: cause, text: err.Error()}
	}
	conn := &connection{socket: socket, writeTimeout: a.hub.writeTimeout, out: eventqueue.New[outgoing](), address: address, opened: time.Now(),
		lastUsedAt: time.Now(), canceledUntil: map[string]time.Time{}}
	a.inbox.Put(message{kind: messageDialed, addressEpoch: era, connection: conn})
	return conn.run(func(msg message) { a.inbox.Put(msg) })
}

// handleDialed handles the end of a dial.
func (a *actor) handleDialed(msg *message) {
	a.dialsInProgress--
	outdated := msg.addressEpoch != a.addressEpoch
	if !outdated {
		a.dialsToAddress--
	}
	if msg.connection != nil {
		a.connections = append(a.connections, msg.connection)
		switch {
		case a.stopped:
			a.close(msg.connection, reasonShutdown)
		case outdated:
			a.close(msg.connection, reasonAddressChanged)
		case a.draining && a.pendingProbe == nil: // idle ones were closed when it began to drain
			a.close(msg.connection, reasonRequested)
		}
		a.assign()
		return
	}
	a.logEnd(msg.reason, msg.text, msg.address, 0)
	if outdated || a.dialsToAddress > 0 {
		return // another may come up
	}
	outcome := policy.NotConnected
	if msg.reason == reasonNoDescriptor { // no fault of the backend
		outcome = policy.NotSent
	}
	for _, batch := range slices.Clone(a.waiting) {
		for _, c := range slices.Clone(batch.calls) {
			a.end(c, outcome, time.Now(), answer{})
		}
	}
	if p := a.pendingProbe; p != nil && p.connection == nil {
		a.endProbe(outcome, time.Now(), policy.Load{})
	}
}

// handleConnectionEnded ends the calls and the probe in flight on a connection, once: what was not completely written was not
// executed.
func (a *actor) handleConnectionEnded(msg *message) {
	conn, now := msg.connection, time.Now()
	a.connections = slices.DeleteFunc(a.connections, func(o *connection) bool { return o == conn })
	cause := msg.reason
	if conn.closeReason != "" {
		cause = conn.closeReason
	}
	a.logEnd(cause, msg.text, conn.address, now.Sub(conn.opened))
	for _, c := range a.calls {
		if c.connection == conn {
			a.end(c, c.outcome(), now, answer{})
		}
	}
	if p := a.pendingProbe; p != nil && p.connection == conn {
		outcome := policy.NotConnected
		if p.written {
			outcome = policy.Broken
		}
		a.endProbe(outcome, now, policy.Load{})
	}
	if !a.stopped {
		a.assign()
	}
}

func (a *actor) logEnd(cause reason, text, address string, lifetime time.Duration) {
	a.hub.counters.Add("lines", string(cause), 1)
	entry := a.hub.log.Check(zap.InfoLevel, "connection ended")
	if entry == nil {
		return
	}
	entry.Write(
		zap.String("peer", "searcher"),
		zap.String("reason", string(cause)),
		zap.String("address", address),
		zap.Uint32("searcher", uint32(a.id)),
		zap.Float64("lived_s", lifetime.Seconds()),
		zap.String("text", text))
}
