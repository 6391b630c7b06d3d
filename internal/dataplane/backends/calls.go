package backends

import (
	"maps"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// cancelCall cancels a call for the policy.
func (a *actor) cancelCall(subquery policy.SubqueryID, no policy.CallNo) {
	for _, c := range a.calls {
		if c.Subquery == subquery && c.Number == no {
			a.abandonCall(c, policy.Canceled)
			return
		}
	}
}

// endNotStarted ends calls whose write may not start any more.
func (a *actor) endNotStarted(calls []*call) {
	for _, c := range calls {
		if a.calls[c.name] == c {
			a.end(c, policy.NotSent, time.Now(), answer{})
		}
	}
}

// revokeUnsent ends all calls whose write has not started, for a backend that drains: none of them may start later, when a
// connect or a write has delayed it beyond the drain's grace.
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

// send takes calls that share a frame.
func (a *actor) send(calls []aggregator.Call) {
	t := &sharedCall{}
	for _, c := range calls {
		t.calls = append(t.calls, &call{Call: c, name: subqueryName(&c), shared: t})
	}
	t.live = len(t.calls)
	for _, c := range slices.Clone(t.calls) {
		if a.draining || a.calls[c.name] != nil { // their answers would have the same name
			a.end(c, policy.NotSent, time.Now(), answer{})
			continue
		}
		a.calls[c.name] = c
	}
	if t.live == 0 {
		return
	}
	a.waiting = append(a.waiting, t)
	a.assign()
}

// assign gives waiting calls and the pending probe to the first connections that can take them, and dials more connections
// where there are too few.
func (a *actor) assign() {
	var unassigned []*sharedCall
	for _, t := range a.waiting {
		conn := a.connectionFor(t)
		if conn == nil {
			unassigned = append(unassigned, t)
			continue
		}
		conn.sharedCalls++
		conn.expectAnswer(time.Now())
		for _, c := range t.calls {
			c.connection = conn
		}
		conn.out.Put(outgoing{frameType: frameCall, calls: t.calls})
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
	for needed := a.dialsNeeded(); a.dials < needed; {
		a.dial()
	}
}

// end removes a call from the records and reports its end.
func (a *actor) end(c *call, outcome policy.Outcome, at time.Time, with answer) {
	if a.calls[c.name] == c {
		delete(a.calls, c.name)
	}
	t := c.shared
	t.live--
	switch {
	case c.connection == nil: // not handed to a connection yet
		t.calls = slices.DeleteFunc(t.calls, func(o *call) bool { return o == c })
		if t.live == 0 {
			a.waiting = slices.DeleteFunc(a.waiting, func(o *sharedCall) bool { return o == t })
		}
	case t.live == 0:
		c.connection.sharedCalls--
	}
	a.hub.notifyEnd(&c.Call, a.id, outcome, at, with)
}

// abandonCall cancels a call that nobody waits for any more. Its end is reported once the cancel frame was written: until then
// another call of its subquery would be a duplicate. An answer that comes before that counts.
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

// cancelWritten ends a call whose cancel frame was written; a later answer is dropped.
func (a *actor) cancelWritten(conn *connection, c *call) {
	if a.calls[c.name] != c {
		return // answered meanwhile
	}
	now := time.Now()
	maps.DeleteFunc(conn.canceledUntil, func(_ string, until time.Time) bool { return until.Before(now) })
	conn.canceledUntil[c.name] = now.Add(lateAnswerPeriod)
	a.end(c, c.cancelOutcome, now, answer{})
}

// handleAnswer handles a valid answer. One to a canceled call is late, and the last answer may come twice; any other that
// names no call of this connection is corrupt, and meant for a call that it does not name.
func (a *actor) handleAnswer(n *message) {
	conn, name := n.connection, n.answer.name
	c := a.calls[name]
	switch _, abandoned := conn.canceledUntil[name]; {
	case c != nil && c.connection == conn:
		conn.lastAnswer = name
		a.end(c, n.answer.outcome, n.at, n.answer)
	case abandoned, name == conn.lastAnswer:
		conn.lastAnswer = name
		delete(conn.canceledUntil, name)
		a.hub.counters.Add("late", "answers", 1)
	default:
		a.handleCorrupted(conn, name, reasonUnknownID, n.at)
	}
}

// handleCorrupted closes a connection on which no data can be trusted any more. The call that the corrupt answer names, or else
// the only one in flight there, was executed and has failed; the others end with the connection.
func (a *actor) handleCorrupted(conn *connection, name string, why reason, at time.Time) {
	a.hub.counters.Add("late", "spoilt", 1)
	meant := a.calls[name]
	if meant == nil || meant.connection != conn {
		meant = nil
		for _, c := range a.calls {
			if c.connection == conn && meant != nil {
				meant = nil
				break
			} else if c.connection == conn {
				meant = c
			}
		}
	}
	a.close(conn, why) // before its call's end is reported, as another call of that subquery may be sent then
	if meant != nil {
		a.end(meant, policy.Errored, at, answer{})
	}
}
