// Package searchers speaks with searchers: an actor for each, with its lines, calls, probes and time-outs. What
// is sent where is the module's to decide; here is only how.
package searchers

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/mailbox"
	"puffinlink.example/puffinlink/internal/mixer"
	"puffinlink.example/puffinlink/internal/settings"
	"puffinlink.example/puffinlink/logic"
)

// lateAnswer is how long a call given up may still be answered: above any time that a searcher goes on with work that
// nobody waits for, and short enough that the names given up in it are few.
const lateAnswer = 30 * time.Second

// hurry is what is left to a write to a searcher that wants nothing new: one that is not stuck is done by then.
const hurry = 100 * time.Millisecond

// Hub hands each searcher's actor what concerns it. It belongs to the module's actor.
type Hub struct {
	set    settings.Net
	tell   *mailbox.Box[mixer.Event]
	log    zerolog.Logger
	count  *counters.Set
	actors map[logic.SearcherID]*actor
	gone   map[logic.SearcherID]*actor // those of actors that the list no longer names
	lines  chan struct{}               // one place for each descriptor in use
	stuck  time.Duration               // that a write may take
	dials  context.Context             // ends with all connects
	dialer func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error)
	undial context.CancelFunc
	all    sync.WaitGroup
}

// New makes a hub that keeps no more than so many lines.
func New(set settings.Net, most int, tell *mailbox.Box[mixer.Event], log zerolog.Logger, count *counters.Set) *Hub {
	h := &Hub{set: set, tell: tell, log: log, count: count, actors: map[logic.SearcherID]*actor{},
		gone: map[logic.SearcherID]*actor{}, lines: make(chan struct{}, most), stuck: stuckWrite}
	h.dials, h.undial = context.WithCancel(context.Background())
	h.dialer = func(ctx context.Context, timeout time.Duration, address string) (net.Conn, error) {
		return (&net.Dialer{Timeout: timeout}).DialContext(ctx, "tcp", address)
	}
	return h
}

// Named takes what the list says of a searcher, and starts its actor at the first naming. An actor whose searcher is
// gone ends with its last call; the register never names one again by the same number.
func (h *Hub) Named(entry logic.Entry, address string) {
	maps.DeleteFunc(h.gone, func(id logic.SearcherID, a *actor) bool {
		if a.over.Load() {
			delete(h.actors, id)
		}
		return h.actors[id] == nil
	})
	a := h.actors[entry.Searcher]
	switch {
	case a == nil && entry.Phase == logic.Gone:
		return
	case a == nil:
		a = &actor{hub: h, id: entry.Searcher, in: mailbox.New[note](), calls: map[string]*call{}}
		h.actors[entry.Searcher] = a
		h.all.Go(a.run)
	case entry.Phase == logic.Gone:
		h.gone[entry.Searcher] = a
	}
	a.in.Put(note{kind: named, entry: entry, address: address})
}

// Unnamed takes those that a whole list leaves out for gone.
func (h *Hub) Unnamed(keep map[logic.SearcherID]bool) {
	for id := range h.actors {
		if !keep[id] {
			h.Named(logic.Entry{Searcher: id, Phase: logic.Gone}, "")
		}
	}
}

func (h *Hub) put(to logic.SearcherID, n note) {
	if a := h.actors[to]; a != nil {
		a.in.Put(n)
	}
}

// Send sends calls that share one place on a line.
func (h *Hub) Send(to logic.SearcherID, calls []mixer.Call) {
	if a := h.actors[to]; a != nil && !a.over.Load() {
		a.in.Put(note{kind: send, new: calls})
		return
	}
	for i := range calls {
		h.ended(&calls[i], to, logic.NotConnected, time.Now(), answer{})
	}
}

// ended tells the module's actor how a call ended.
func (h *Hub) ended(c *mixer.Call, at logic.SearcherID, how logic.Outcome, when time.Time, with answer) {
	h.count.Add("calls", outcomeNames[how], 1)
	h.tell.Put(mixer.Event{Value: with.value, Event: logic.Event{Kind: logic.CallEnded, Part: c.Part, Call: c.No,
		Searcher: at, Outcome: how, Elapsed: max(0, when.Sub(c.Sent).Seconds()), Load: with.load}})
}

func (h *Hub) Withdraw(at logic.SearcherID, part logic.PartID, no logic.CallNo) {
	h.put(at, note{kind: withdraw, part: part, no: no})
}

// Probe asks a searcher whether it lives, apart from all that is out there if so wanted.
func (h *Hub) Probe(at logic.SearcherID, apart bool) {
	h.put(at, note{kind: probe, apart: apart, at: time.Now()})
}

func (h *Hub) CloseIdle(at logic.SearcherID) { h.put(at, note{kind: closeIdle}) }

// Stop ends all actors and their lines; the module's actor has ended before.
func (h *Hub) Stop() {
	for _, a := range h.actors {
		a.in.Put(note{kind: stop})
	}
	h.undial() // nobody waits for them any more
	h.all.Wait()
}

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

// call is one part call that is out. name, the Call and its trip never change.
type call struct {
	mixer.Call
	name    string
	trip    *trip
	line    *line // nil while it waits for one
	written bool
	back    bool          // given up, which its searcher is being told
	how     logic.Outcome // then: as what
	begun   atomic.Int32  // its actor and its line's writer settle by it which of them comes first
}

const (
	waits int32 = iota
	writes
	never
)

// begin tells its line's writer whether its write may begin, however long it waited for that: it may not once it was
// taken back, its searcher wants nothing new, nobody waits for it, or a repeat of it would no longer be known as one.
func (c *call) begin(now time.Time) bool {
	if now.After(c.Begin) {
		c.begun.CompareAndSwap(waits, never)
	}
	return c.begun.CompareAndSwap(waits, writes)
}

// takeBack tells its actor whether it surely is not written and never will be.
func (c *call) takeBack() bool {
	return c.line == nil || c.begun.CompareAndSwap(waits, never) || c.begun.Load() == never
}

// trip is the calls that share one place on a line.
type trip struct {
	calls []*call
	live  int
}

// asking is the probe that is out; the module has one at a time.
type asking struct {
	since   time.Time
	apart   bool // on a line with nothing else out
	line    *line
	written bool
}

// actor speaks with one searcher.
type actor struct {
	hub      *Hub
	id       logic.SearcherID
	in       *mailbox.Box[note]
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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
		l := &line{conn: conn, stuck: a.hub.stuck, out: mailbox.New[packet](), address: address, opened: time.Now(),
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

var outcomeNames = [...]string{logic.Answered: "answered", logic.Errored: "errored", logic.TurnedAway: "turned_away",
	logic.TimedOut: "timed_out", logic.NotConnected: "not_connected", logic.Broken: "broken",
	logic.Withdrawn: "withdrawn", logic.NotSent: "not_sent"}

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

// outcome is that of a call whose line can tell no more: what was never wholly written never ran.
func (c *call) outcome() logic.Outcome {
	switch {
	case c.back:
		return c.how
	case c.written:
		return logic.Broken
	}
	return logic.NotConnected
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

func (a *actor) probe(at time.Time, apart bool) {
	if a.asking != nil {
		return
	}
	a.asking = &asking{since: at, apart: apart}
	a.assign()
}

func (a *actor) ask(l *line) {
	a.asking.line = l
	l.ask(time.Now())
	l.out.Put(packet{letter: a.letter()})
}

// letter is that of a probe.
func (a *actor) letter() byte {
	if a.hub.set.Loads {
		return letterLoad
	}
	return letterAlive
}

// alive takes the answer of a probe. One that comes after its time-out may be taken for the next one's: a sign
// of life it is all the same.
func (a *actor) alive(n *note) {
	if p := a.asking; p == nil || p.line != n.line {
		a.hub.count.Add("late", "probes", 1)
		return
	} else if p.apart { // the searcher lives, and lines that were asked before and said nothing since do not
		for _, l := range a.lines {
			if !l.asked.IsZero() && l.asked.Before(p.since) {
				a.mute(l, n.at)
			}
		}
	}
	if n.text == probeFailed {
		a.probed(logic.Errored, n.at, logic.Load{})
	} else {
		a.probed(logic.Answered, n.at, parseLoad([]byte(n.text)))
	}
}

func (a *actor) probed(how logic.Outcome, at time.Time, load logic.Load) {
	elapsed := max(0, at.Sub(a.asking.since).Seconds())
	a.asking = nil
	a.hub.count.Add("probes", outcomeNames[how], 1)
	a.hub.tell.Put(mixer.Event{Event: logic.Event{Kind: logic.ProbeEnded, Searcher: a.id, Outcome: how,
		Elapsed: elapsed, Load: load}})
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
