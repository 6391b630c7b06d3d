package searchers

import (
	"maps"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/mixer"
	"puffinlink.example/puffinlink/logic"
)

// unsend takes back all calls that are not on their way to a searcher that wants nothing new: none of them begins any
// more, be it that a connect or a write holds it up for longer than the grace.
func (a *actor) unsend() {
	for _, c := range a.calls {
		switch {
		case c.takeBack():
			a.end(c, logic.NotSent, time.Now(), answer{})
		case !c.written && c.line.closing == "":
			c.line.conn.SetWriteDeadline(time.Now().Add(hurry))
		}
	}
}

func (a *actor) send(calls []mixer.Call) {
	t := &trip{}
	for _, c := range calls {
		t.calls = append(t.calls, &call{Call: c, name: partName(&c), trip: t})
	}
	t.live = len(t.calls)
	for _, c := range slices.Clone(t.calls) {
		if a.closed || a.calls[c.name] != nil { // its answer could not be told from the other's
			a.end(c, logic.NotSent, time.Now(), answer{})
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

// assign puts what waits on the first line that can take it, and opens more lines where there are too few.
func (a *actor) assign() {
	var rest []*trip
	for _, t := range a.waiting {
		l := a.room(t)
		if l == nil {
			rest = append(rest, t)
			continue
		}
		l.trips++
		l.ask(time.Now())
		for _, c := range t.calls {
			c.line = l
		}
		l.out.Put(packet{letter: letterCall, calls: t.calls})
	}
	a.waiting = rest
	if p := a.asking; p != nil && p.line == nil {
		for _, l := range a.lines {
			if a.takes(l) && (!p.apart || a.idle(l) && l.asked.IsZero()) {
				a.ask(l)
				break
			}
		}
	}
	for need := a.dialsNeeded(); a.dials < need; {
		a.dial()
	}
}

// end takes a call off the books and tells the module how it ended.
func (a *actor) end(c *call, how logic.Outcome, at time.Time, with answer) {
	if a.calls[c.name] == c {
		delete(a.calls, c.name)
	}
	t := c.trip
	t.live--
	switch {
	case c.line == nil: // not handed to a line yet
		t.calls = slices.DeleteFunc(t.calls, func(o *call) bool { return o == c })
		if t.live == 0 {
			a.waiting = slices.DeleteFunc(a.waiting, func(o *trip) bool { return o == t })
		}
	case t.live == 0:
		c.line.trips--
	}
	a.hub.ended(&c.Call, a.id, how, at, with)
}

// giveUp gives up a call that nobody waits for any more. Its end is told once its searcher was: until then another call of
// its part would be a second copy. An answer that comes before that is taken.
func (a *actor) giveUp(c *call, how logic.Outcome) {
	l, now := c.line, time.Now()
	switch {
	case c.back:
		return
	case c.takeBack() || l.closing != "":
		a.end(c, how, now, answer{})
		return
	case c.written && how == logic.TimedOut:
		a.unanswered(l, c.Sent, now)
	}
	c.back, c.how = true, how
	l.out.Put(packet{letter: letterCancel, calls: []*call{c}})
}

// gaveUp ends a call that its searcher was told is given up; what it may still say is dropped.
func (a *actor) gaveUp(l *line, c *call) {
	if a.calls[c.name] != c {
		return // answered meanwhile
	}
	now := time.Now()
	maps.DeleteFunc(l.ghosts, func(_ string, until time.Time) bool { return until.Before(now) })
	l.ghosts[c.name] = now.Add(lateAnswer)
	a.end(c, c.how, now, answer{})
}

// answered takes an answer that can be read. One to a call given up is late, the last one may come twice; any other
// that names no call of this line is meant for one that it does not name.
func (a *actor) answered(n *note) {
	l, name := n.line, n.answer.name
	c := a.calls[name]
	switch _, ghost := l.ghosts[name]; {
	case c != nil && c.line == l:
		l.last = name
		a.end(c, n.answer.outcome, n.at, n.answer)
	case ghost, name == l.last:
		l.last = name
		delete(l.ghosts, name)
		a.hub.count.Add("late", "answers", 1)
	default:
		a.spoilt(l, name, whyUnknownID, n.at)
	}
}

// spoilt gives a line up of which nothing can be trusted any more. The call that the bad answer names, or else the
// only one that is out there, has run and failed; what becomes of the others is told by the line's end.
func (a *actor) spoilt(l *line, name string, why reason, at time.Time) {
	a.hub.count.Add("late", "spoilt", 1)
	meant := a.calls[name]
	if meant == nil || meant.line != l {
		meant = nil
		for _, c := range a.calls {
			if c.line == l && meant != nil {
				meant = nil
				break
			} else if c.line == l {
				meant = c
			}
		}
	}
	a.close(l, why) // before its call's end is told, as another call of that part may go out then
	if meant != nil {
		a.end(meant, logic.Errored, at, answer{})
	}
}
