package backends

import (
	"maps"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// cancelCall cancels a call at the request of the policy.
func (a *actor) cancelCall(subquery policy.SubqueryID, callNumber policy.CallNumber) {
	for _, c := range a.calls {
		if c.Subquery == subquery && c.Number == callNumber {
			a.abandonCall(c, policy.Canceled)
			return
		}
	}
}

// endRevoked ends calls whose write was revoked before it started.
func (a *actor) endRevoked(calls []*call) {
	for _, c := range calls {
		if a.calls[c.name] == c {
			a.end(c, policy.NotSent, time.Now(), answer{})
		}
	}
}

// revokeUnsent ends all calls whose write has not started, because the backend is draining. A slow dial or write could
// otherwise delay such a call beyond the drain's grace period. It also shortens the timeout of writes in progress.
func (a *actor) revokeUnsent() {
	for _, c := range a.calls {
		switch {
		case c.revokeWrite():
			a.end(c, policy.NotSent, time.Now(), answer{})
		case !c.written && c.connection.closeReason == "":
			c.connection.socket.SetWriteDeadline(time.Now().Add(drainWriteTimeout))
		}
	}
}

// send queues calls that share a frame, and assigns them to a connection.
func (a *actor) send(calls []aggregator.Call) {
	batch := &callBatch{}
	for _, c := range calls {
		batch.calls = append(batch.calls, &call{Call: c, name: subqueryName(&c), batch: batch})
	}
	batch.pending = len(batch.calls)
	for _, c := range slices.Clone(batch.calls) {
		if a.draining || a.calls[c.name] != nil { // a call with the same name is in flight, and their answers could not be told apart
			a.end(c, policy.NotSent, time.Now(), answer{})
			continue
		}
		a.calls[c.name] = c
	}
	if batch.pending == 0 {
		return
	}
	a.waiting = append(a.waiting, batch)
	a.assign()
}

// assign passes the waiting calls and the pending probe to the first connections that can carry them, and dials more
// connections if there are too few.
func (a *actor) assign() {
	var unassigned []*callBatch
	for _, batch := range a.waiting {
		conn := a.connectionFor(batch)
		if conn == nil {
			unassigned = append(unassigned, batch)
			continue
		}
		conn.batchesInFlight++
		conn.expectAnswer(time.Now())
		for _, c := range batch.calls {
			c.connection = conn
		}
		conn.out.Put(outgoing{frameType: frameCall, calls: batch.calls})
	}
	a.waiting = unassigned
	if p := a.pendingProbe; p != nil && p.connection == nil {
		for _, conn := range a.connections {
			if a.usable(conn) && (!p.separate || a.idle(conn) && conn.unansweredSince.IsZero()) {
				a.sendProbe(conn)
				break
			}
		}
	}
	for needed := a.dialsNeeded(); a.dialsToAddress < needed; {
		a.dial()
	}
}

// end removes a call from the actor's state and reports its end to the policy's actor.
func (a *actor) end(c *call, outcome policy.Outcome, at time.Time, result answer) {
	if a.calls[c.name] == c {
		delete(a.calls, c.name)
	}
	batch := c.batch
	batch.pending--
	switch {
	case c.connection == nil: // not assigned to a connection yet
		batch.calls = slices.DeleteFunc(batch.calls, func(o *call) bool { return o == c })
		if batch.pending == 0 {
			a.waiting = slices.DeleteFunc(a.waiting, func(o *callBatch) bool { return o == batch })
		}
	case batch.pending == 0:
		c.connection.batchesInFlight--
	}
	a.hub.notifyEnd(&c.Call, a.id, outcome, at, result)
}

// abandonCall cancels a call whose result is no longer needed. If the call may have been written, its end is reported only
// after the cancel frame was written, because until then another call of its subquery would be a duplicate. An answer that
// arrives before that counts.
func (a *actor) abandonCall(c *call, outcome policy.Outcome) {
	conn, now := c.connection, time.Now()
	switch {
	case c.canceled:
		return
	case c.revokeWrite() || conn.closeReason != "":
		a.end(c, outcome, now, answer{})
		return
	case c.written && outcome == policy.TimedOut:
		a.recordTimeout(conn, c.Sent, now)
	}
	c.canceled, c.cancelOutcome = true, outcome
	conn.out.Put(outgoing{frameType: frameCancel, calls: []*call{c}})
}

// cancelWritten ends a call whose cancel frame was written. A later answer to it is dropped.
func (a *actor) cancelWritten(conn *connection, c *call) {
	if a.calls[c.name] != c {
		return // the answer arrived first
	}
	now := time.Now()
	maps.DeleteFunc(conn.canceledUntil, func(_ string, until time.Time) bool { return until.Before(now) })
	conn.canceledUntil[c.name] = now.Add(lateAnswerPeriod)
	a.end(c, c.cancelOutcome, now, answer{})
}

// handleAnswer handles a well-formed answer. An answer to a canceled call, or a repetition of the connection's last answer,
// is counted as late and dropped. Any other answer that names no call of this connection is corrupt: it was meant for a call
// that it does not name.
func (a *actor) handleAnswer(msg *message) {
	conn, name := msg.connection, msg.answer.name
	c := a.calls[name]
	switch _, abandoned := conn.canceledUntil[name]; {
	case c != nil && c.connection == conn:
		conn.lastAnswer = name
		a.end(c, msg.answer.outcome, msg.at, msg.answer)
	case abandoned, name == conn.lastAnswer:
		conn.lastAnswer = name
		delete(conn.canceledUntil, name)
		a.hub.counters.Add("late", "answers", 1)
	default:
		a.handleCorrupted(conn, name, reasonUnknownID, msg.at)
	}
}

// handleCorrupted closes a connection after a corrupt frame, because no later data on it can be trusted. The call that the
// frame names, or else the only call in flight on the connection, ends as failed after execution. The other calls end with
// the connection.
func (a *actor) handleCorrupted(conn *connection, name string, cause reason, at time.Time) {
	a.hub.counters.Add("late", "spoilt", 1)
	affected := a.calls[name]
	if affected == nil || affected.connection != conn {
		affected = nil
		for _, c := range a.calls {
			if c.connection == conn && affected != nil {
				affected = nil
				break
			} else if c.connection == conn {
				affected = c
			}
		}
	}
	a.close(conn, cause) // before the call's end is reported, because the subquery may be retried at once
	if affected != nil {
		a.end(affected, policy.Errored, at, answer{})
	}
}
