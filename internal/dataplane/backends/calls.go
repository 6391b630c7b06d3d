package backends

import (
	"maps"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// withdraw gives up a call that the module takes back.
func (a *actor) cancelCall(subquery policy.SubqueryID, no policy.CallNo) {
	for _, c := range a.calls {
		if c.Subquery == subquery && c.No == no {
			a.abandonCall(c, policy.Canceled)
			return
		}
	}
}

// notBegun ends calls whose write may not begin any more.
func (a *actor) endNotStarted(calls []*call) {
	for _, c := range calls {
		if a.calls[c.name] == c {
			a.end(c, policy.NotSent, time.Now(), answer{})
		}
	}
}

// revokeUnsent takes back all calls that are not on their way to a backend that wants nothing new: none of them begins any
// more, be it that a connect or a write holds it up for longer than the grace.
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

func (a *actor) send(calls []aggregator.Call) {
	t := &sharedCall{}
	for _, c := range calls {
		t.calls = append(t.calls, &call{Call: c, name: subqueryName(&c), shared: t})
	}
	t.live = len(t.calls)
	for _, c := range slices.Clone(t.calls) {
		if a.draining || a.calls[c.name] != nil { // its answer could not be told from the other's
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

// assign puts what waits on the first connection that can take it, and opens more connections where there are too few.
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

// end takes a call off the records and tells the module how it ended.
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

// abandonCall gives up a call that nobody waits for any more. Its end is told once its backend was: until then another call of
// its part would be a second copy. An answer that comes before that is taken.
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

// cancelWritten ends a call that its backend was told is given up; what it may still say is dropped.
func (a *actor) cancelWritten(conn *connection, c *call) {
	if a.calls[c.name] != c {
		return // answered meanwhile
	}
	now := time.Now()
	maps.DeleteFunc(conn.canceledUntil, func(_ string, until time.Time) bool { return until.Before(now) })
	conn.canceledUntil[c.name] = now.Add(lateAnswerPeriod)
	a.end(c, c.cancelOutcome, now, answer{})
}

// handleAnswer takes an answer that can be read. One to a call given up is late, the last one may come twice; any other
// that names no call of this connection is meant for one that it does not name.
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

// corrupted gives a connection up of which nothing can be trusted any more. The call that the bad answer names, or else the
// only one that is out there, has run and failed; what becomes of the others is told by the connection's end.
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
	a.close(conn, why) // before its call's end is told, as another call of that part may go out then
	if meant != nil {
		a.end(meant, policy.Errored, at, answer{})
	}
}
