package searchers

import (
	"errors"
	"net"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/logic"
)

func (a *actor) idle(l *line) bool {
	return l.trips == 0 && (a.asking == nil || a.asking.line != l)
}

func (a *actor) closeIdle(why reason) {
	for _, l := range a.lines {
		if a.idle(l) {
			a.close(l, why)
		}
	}
}

// close ends a line; what is out on it is told when its goroutines have said all they know.
func (a *actor) close(l *line, why reason) {
	if l.closing != "" {
		return
	}
	l.closing = why
	if l.trips > 0 && (why == whyMoved || why == whyRestarted) { // the process before may have answered
		l.finish()
	} else {
		l.conn.Close()
	}
}

// room finds a line for a trip. One on which a call of the same name was given up is no use: its late answer
// could not be told from the new one's.
func (a *actor) room(t *trip) *line {
	for _, l := range a.lines {
		if !a.takes(l) || a.hub.set.Streams > 0 && l.trips >= a.hub.set.Streams {
			continue
		}
		if !slices.ContainsFunc(t.calls, func(c *call) bool { return !l.ghosts[c.name].IsZero() }) {
			return l
		}
	}
	return nil
}

// takes tells whether anything new may be asked on a line. One that has fallen silent looks like a searcher that is
// silent: only another line tells them apart, and a searcher that lives must not be lost with its line.
func (a *actor) takes(l *line) bool {
	return l.closing == "" && !l.half && l.muteAt.IsZero() && !a.stale(l)
}

// unanswered notes that a line had no answer in its time to what was asked on it then. That time is a probe's at
// least: what a client gives a call may be next to nothing.
func (a *actor) unanswered(l *line, asked, now time.Time) {
	if l.heard.Before(asked) && now.Sub(asked) >= seconds(a.hub.set.Connect) {
		a.mute(l, now)
	}
}

// mute begins the last wait for a line that has said nothing, and asks it by a probe of its own, which a searcher answers at
// once however long its calls wait. Without one, slow searchers lost line after line, with the work done for them.
func (a *actor) mute(l *line, now time.Time) {
	if l.closing != "" || !l.muteAt.IsZero() {
		return
	}
	l.muteAt = now
	l.out.Put(packet{letter: a.letter()})
}

// ask notes that something is handed to a line. It counts from here and not from when the writer tells of it: on a
// busy machine that may come after the answer of a probe on another line, which would then find nothing asked here.
func (l *line) ask(now time.Time) {
	if l.asked.IsZero() {
		l.asked = now
	}
}

// stale tells of a line that its searcher may close for being idle before a frame gets there: a frame is given
// as long as a connect.
func (a *actor) stale(l *line) bool {
	idle := a.hub.set.Idle
	return idle > 0 && a.idle(l) && time.Since(l.used) >= a.keep()
}

// keep is how long an idle line is kept; where a connect may take nearly all of the idle time, half of that.
func (a *actor) keep() time.Duration {
	return seconds(max(a.hub.set.Idle-a.hub.set.Connect, a.hub.set.Idle/2))
}

func (a *actor) dialsNeeded() int {
	need, per := len(a.waiting), a.hub.set.Streams
	if need > 0 && per > 0 {
		need = (need + per - 1) / per
	} else if need > 0 {
		need = 1
	}
	if a.asking != nil && a.asking.line == nil {
		need = max(need, 1)
	}
	return need
}

func (a *actor) dial() {
	a.dials++
	a.dialling++
	a.hub.count.Add("lines", "dialled", 1)
	address, era, connect := a.address, a.era, seconds(a.hub.set.Connect)
	select {
	case a.hub.lines <- struct{}{}:
	default:
		a.in.Put(note{kind: dialled, era: era, address: address, why: whyNoRoom})
		return
	}
	go func() {
		defer func() { <-a.hub.lines }()
		conn, err := a.hub.dialer(a.hub.dials, connect, address)
		if err != nil {
			why := whyNoConnect
			if late := net.Error(nil); errors.As(err, &late) && late.Timeout() {
				why = whyLateDial
			}
			a.in.Put(note{kind: dialled, era: era, address: address, why: why, text: err.Error()})
			return
		}
		l := &line{conn: conn, stuck: a.hub.stuck, out: eventqueue.New[packet](), address: address, opened: time.Now(),
			used: time.Now(), ghosts: map[string]time.Time{}}
		a.in.Put(note{kind: dialled, era: era, line: l})
		l.run(func(n note) { a.in.Put(n) })
	}()
}

func (a *actor) dialled(n *note) {
	a.dialling--
	old := n.era != a.era
	if !old {
		a.dials--
	}
	if n.line != nil {
		a.lines = append(a.lines, n.line)
		switch {
		case a.stopped:
			a.close(n.line, whyShutdown)
		case old:
			a.close(n.line, whyMoved)
		case a.closed && a.asking == nil: // idle ones were closed when it began to drain
			a.close(n.line, whyAsked)
		}
		a.assign()
		return
	}
	a.logEnd(n.why, n.text, n.address, 0)
	if old || a.dials > 0 {
		return // another may come up
	}
	how := logic.NotConnected
	if n.why == whyNoRoom { // no fault of the searcher
		how = logic.NotSent
	}
	for _, t := range slices.Clone(a.waiting) {
		for _, c := range slices.Clone(t.calls) {
			a.end(c, how, time.Now(), answer{})
		}
	}
	if p := a.asking; p != nil && p.line == nil {
		a.probed(how, time.Now(), logic.Load{})
	}
}

// lineEnded tells once what was out on a line: what was never wholly written never ran.
func (a *actor) lineEnded(n *note) {
	l, now := n.line, time.Now()
	a.lines = slices.DeleteFunc(a.lines, func(o *line) bool { return o == l })
	why := n.why
	if l.closing != "" {
		why = l.closing
	}
	a.logEnd(why, n.text, l.address, now.Sub(l.opened))
	for _, c := range a.calls {
		if c.line == l {
			a.end(c, c.outcome(), now, answer{})
		}
	}
	if p := a.asking; p != nil && p.line == l {
		how := logic.NotConnected
		if p.written {
			how = logic.Broken
		}
		a.probed(how, now, logic.Load{})
	}
	if !a.stopped {
		a.assign()
	}
}

func (a *actor) logEnd(why reason, text, address string, lived time.Duration) {
	a.hub.count.Add("lines", string(why), 1)
	a.hub.log.Info().Str("peer", "searcher").Str("reason", string(why)).Str("address", address).
		Uint32("searcher", uint32(a.id)).Float64("lived_s", lived.Seconds()).Str("text", text).Msg("connection ended")
}
