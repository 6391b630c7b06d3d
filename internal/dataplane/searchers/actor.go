package searchers

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/mixer"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/logic"
)

type noteKind uint8

const (
	named noteKind = iota
	send
	withdraw
	probe
	closeIdle
	stop
	dialled   // era, line, or why and text
	wentOut   // line, letter, calls: written to the last byte; at: when that began
	notBegun  // line, calls: not written and not to be any more
	cameHalf  // line: a frame that is not here to its end
	cameIn    // line, letter, answer or text, at
	spoilt    // line, name of the call it may mean, at: nothing after it is read
	lineEnded // line, why, text
)

// note is what an actor hears, from the module's or from its own lines.
type note struct {
	kind    noteKind
	letter  byte
	entry   logic.Entry
	address string
	apart   bool
	era     int
	new     []mixer.Call
	calls   []*call
	part    logic.PartID
	no      logic.CallNo
	line    *line
	answer  answer
	name    string
	why     reason
	text    string
	at      time.Time
}

// actor speaks with one searcher.
type actor struct {
	hub      *Hub
	id       logic.SearcherID
	in       *eventqueue.Box[note]
	address  string
	stopped  bool
	closed   bool        // the list says that it wants nothing new
	gone     bool        // the list no longer names it
	over     atomic.Bool // it has ended
	era      int         // of the address
	lines    []*line
	dials    int     // connects to this address
	dialling int     // connects to any
	waiting  []*trip // for a line with room
	calls    map[string]*call
	asking   *asking
	heard    time.Time // last frame that came on any line
}

func (a *actor) run() {
	var notes []note
	timer := time.NewTimer(0)
	defer a.over.Store(true)
	for !a.stopped && !a.gone || a.dialling > 0 || len(a.lines) > 0 || a.gone && len(a.calls) > 0 {
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
		for _, c := range a.calls {
			if c.Part == n.part && c.No == n.no {
				a.giveUp(c, logic.Withdrawn)
				break
			}
		}
	case probe:
		a.probe(n.at, n.apart)
	case closeIdle:
		a.closeIdle(whyAsked)
	case stop:
		a.stopped = true
		for _, l := range a.lines {
			a.close(l, whyShutdown)
		}
	case dialled:
		a.dialled(n)
	case wentOut:
		n.line.used = n.at
		switch {
		case n.letter == letterCall:
			for _, c := range n.calls {
				c.written = true
			}
		case n.letter == letterCancel:
			a.gaveUp(n.line, n.calls[0])
		case a.asking != nil && a.asking.line == n.line:
			a.asking.written = true
		}
	case notBegun:
		for _, c := range n.calls {
			if a.calls[c.name] == c {
				a.end(c, logic.NotSent, time.Now(), answer{})
			}
		}
	case cameHalf:
		n.line.half = true
	case cameIn:
		n.line.used, n.line.heard, n.line.half = n.at, n.at, false
		n.line.muteAt, a.heard = time.Time{}, n.at
		if !n.line.asked.After(n.at) {
			n.line.asked = time.Time{}
		}
		if n.letter == letterAnswer {
			a.answered(n)
		} else {
			a.alive(n)
		}
	case spoilt:
		a.spoilt(n.line, n.name, n.why, n.at)
	case lineEnded:
		a.lineEnded(n)
	}
}

// named takes what the list says. Lines to another address, or older than the searcher's last start, lead to a
// process that is no more.
func (a *actor) named(n *note) {
	if a.closed = n.entry.Phase != logic.Ready; a.closed {
		a.unsend()
	}
	if a.gone = n.entry.Phase == logic.Gone; a.gone {
		return
	}
	if n.address != a.address { // connects to the old one are no use
		a.address, a.dials = n.address, 0
		a.era++
		defer a.assign()
	}
	for _, l := range a.lines {
		switch {
		case l.address != a.address:
			a.close(l, whyMoved)
		case float64(l.opened.UnixNano())/1e9 < n.entry.StartedAt:
			a.close(l, whyRestarted)
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
			a.giveUp(c, logic.TimedOut)
		}
	}
	if p := a.asking; p != nil && due(p.since.Add(seconds(a.hub.set.Connect))) {
		how := logic.TimedOut
		if p.line == nil { // the connect that it waits for has as long, and may be told a moment later
			how = logic.NotConnected
		} else if p.written {
			a.unanswered(p.line, p.since, now)
		}
		a.probed(how, now, logic.Load{})
	}
	for _, l := range a.lines {
		switch {
		case l.closing != "":
		case !l.muteAt.IsZero():
			// Its searcher lives, and has had as long again as a probe to say something here: nobody waits any more.
			if a.idle(l) || !a.heard.Before(l.muteAt) && due(l.muteAt.Add(seconds(a.hub.set.Connect))) {
				a.close(l, whyMute) // before any end on it is told
				for _, c := range a.calls {
					if c.line == l {
						a.end(c, logic.TimedOut, now, answer{})
					}
				}
			}
		case !a.idle(l):
		case a.hub.set.Idle > 0 && due(l.used.Add(a.keep())):
			a.close(l, whyIdle)
		}
	}
	return next
}
