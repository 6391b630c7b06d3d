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

// idle reports whether nothing is in flight on a connection.
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

// close closes a connection. The calls in flight on it end once its goroutines have ended, so that answers they have already
// received still count.
func (a *actor) close(conn *connection, cause reason) {
	if conn.closeReason != "" {
		return
	}
	conn.closeReason = cause
	if conn.batchesInFlight > 0 && (cause == reasonAddressChanged || cause == reasonRestarted) { // the previous process may have answered already
		conn.finish()
	} else {
		conn.socket.Close()
	}
}

// connectionFor returns a connection for a batch, or nil if there is none. It skips connections on which a call of the same
// name was canceled, because a late answer to that call could not be told from an answer to the new one.
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

// usable reports whether a connection may carry new calls and probes. An unresponsive connection may not: only a frame on
// another connection shows whether the backend itself is unresponsive, and a backend that is alive must stay in use when one of
// its connections fails.
func (a *actor) usable(conn *connection) bool {
	return conn.closeReason == "" && !conn.partialFrame && conn.unresponsiveSince.IsZero() && !a.nearIdleClose(conn)
}

// recordTimeout marks a connection as unresponsive if no frame was received on it since sentAt. It ignores timeouts shorter
// than that of a probe, because a client's timeout may be close to zero.
func (a *actor) recordTimeout(conn *connection, sentAt, now time.Time) {
	if conn.lastFrameAt.Before(sentAt) && now.Sub(sentAt) >= seconds(a.hub.settings.ConnectTimeoutS) {
		a.markUnresponsive(conn, now)
	}
}

// markUnresponsive starts the final timeout of an unresponsive connection and sends a probe on it. A backend answers a probe at
// once, however long its calls are queued. Without the probe, slow backends lost one connection after another, together with
// the work in progress on them.
func (a *actor) markUnresponsive(conn *connection, now time.Time) {
	if conn.closeReason != "" || !conn.unresponsiveSince.IsZero() {
		return
	}
	conn.unresponsiveSince = now
	conn.out.Put(outgoing{frameType: a.probeFrame()})
}

// expectAnswer records that a frame was queued on a connection. The time starts here and not when the writer reports the frame
// as written. On a busy machine that report may arrive after the answer to a probe on another connection, and that answer
// would then find no unanswered frame here.
func (conn *connection) expectAnswer(now time.Time) {
	if conn.unansweredSince.IsZero() {
		conn.unansweredSince = now
	}
}

// nearIdleClose reports whether the backend may close an idle connection before a new frame arrives there. A frame may take as
// long as a dial.
func (a *actor) nearIdleClose(conn *connection) bool {
	idle := a.hub.settings.IdleTimeoutS
	return idle > 0 && a.idle(conn) && time.Since(conn.lastUsedAt) >= a.idleLimit()
}

// idleLimit returns how long an idle connection is kept: the backend's idle timeout less the connect timeout, but at least half
// of the idle timeout.
func (a *actor) idleLimit() time.Duration {
	return seconds(max(a.hub.settings.IdleTimeoutS-a.hub.settings.ConnectTimeoutS, a.hub.settings.IdleTimeoutS/2))
}

// dialsNeeded returns the number of dials in progress that the waiting calls and the pending probe need.
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

// dial opens a connection in a new goroutine. If no descriptor is free, the dial fails at once.
func (a *actor) dial() {
	a.dialsToAddress++
	a.dialsInProgress++
	a.hub.counters.Add("lines", "dialled", 1)
	address, addressEpoch, timeout := a.address, a.addressEpoch, seconds(a.hub.settings.ConnectTimeoutS)
	select {
	case a.hub.descriptorSlots <- struct{}{}:
	default:
		a.inbox.Put(message{kind: messageDialed, addressEpoch: addressEpoch, address: address, reason: reasonNoDescriptor})
		return
	}
	go func() {
		lastMessage := a.connect(address, addressEpoch, timeout)
		<-a.hub.descriptorSlots // before the end is reported, because its handler may need the descriptor for another dial
		a.inbox.Put(lastMessage)
	}()
}

// connect dials and, if that succeeds, serves the connection until it ends. The caller has to pass the returned message to the
// actor: it reports the failure of the dial or the end of the connection.
func (a *actor) connect(address string, addressEpoch int, timeout time.Duration) (lastMessage message) {
	socket, err := a.hub.dialer(a.hub.dialContext, timeout, address)
	if err != nil {
		cause := reasonConnectRefused
		if netErr := net.Error(nil); errors.As(err, &netErr) && netErr.Timeout() {
			cause = reasonConnectTimeout
		}
		return message{kind: messageDialed, addressEpoch: addressEpoch, address: address, reason: cause, text: err.Error()}
	}
	conn := &connection{socket: socket, writeTimeout: a.hub.writeTimeout, out: eventqueue.New[outgoing](), address: address, opened: time.Now(),
		lastUsedAt: time.Now(), canceledUntil: map[string]time.Time{}}
	a.inbox.Put(message{kind: messageDialed, addressEpoch: addressEpoch, connection: conn})
	return conn.run(func(msg message) { a.inbox.Put(msg) })
}

// handleDialed handles the end of a dial. If the last dial in progress has failed, the calls and the probe that wait for a
// connection end.
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
		case a.draining && a.pendingProbe == nil: // idle connections were closed when the drain began
			a.close(msg.connection, reasonRequested)
		}
		a.assign()
		return
	}
	a.logEnd(msg.reason, msg.text, msg.address, 0)
	if outdated || a.dialsToAddress > 0 {
		return // another dial may succeed
	}
	outcome := policy.NotConnected
	if msg.reason == reasonNoDescriptor { // not the backend's fault
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

// handleConnectionEnded ends the calls and the probe in flight on a connection that has ended. A frame that was not written
// completely was not executed.
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

// logEnd logs and counts the end of a connection or a failed dial.
func (a *actor) logEnd(cause reason, text, address string, lifetime time.Duration) {
	a.hub.counters.Add("lines", string(cause), 1)
	entry := a.hub.logger.Check(zap.InfoLevel, "connection ended")
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
