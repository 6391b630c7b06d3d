// Package controller is the actor of overrides. It alone touches their book; it hears the list before the module does, so
// that what the list names and what is overridden of it reach the module in one step; and it answers operators. It
// decides nothing.
package controller

import (
	"math"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/mixer"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/logic"
)

const (
	// recent is how many changes are kept in memory, to be shown and to be told to whoever watches from a revision.
	recent = 1000
	// behind is how many changes a watcher may lag; then it is let go, to begin anew.
	behind = 256
	// waiting commands: as many as the listener's lines, each of which sends one at a time, and a margin.
	mostWaiting = 64
)

// Keeper keeps changes; Keep may not block, and calls done from another goroutine.
type Keeper interface {
	Keep(changes []override.Change, done func(error))
}

// Result is what became of a command: a *override.Refusal, or an error of the keeper's.
type Result struct {
	Change override.Change
	Again  bool // it had acted before
	Err    error
}

// View is what holds, as it is shown.
type View struct {
	Revision  override.Revision
	Now       float64
	Kept      string // where: "memory" or a directory
	Overrides []override.Status
	Returns   []override.Return
}

type noteKind uint8

const (
	listCame noteKind = iota // events
	commanded
	kept // err, of the command in hand
	asked
	unwatched
	stop
)

type note struct {
	kind    noteKind
	events  []mixer.Event
	command override.Command
	reply   chan Result
	err     error
	ask     func(*Desk)
	watcher *Watcher
}

// Watcher hears of changes. Its channel closes when it has fallen too far behind, or with the desk.
type Watcher struct {
	C   chan override.Change
	out bool
}

// Desk is the actor.
type Desk struct {
	in       *eventqueue.Box[note]
	tell     *eventqueue.Box[mixer.Event]
	book     *override.Book
	keeper   Keeper
	keptIn   string
	log      zerolog.Logger
	count    *counters.Set
	start    time.Time
	unix     float64
	recent   []override.Change
	watchers []*Watcher
	waiting  []note // commands behind the one in hand
	inHand   *note
	change   override.Change // that is being kept
	ended    chan struct{}
}

// New makes the actor before the first list. A nil keeper keeps nothing beyond the process.
func New(lim override.Limits, tell *eventqueue.Box[mixer.Event], keeper Keeper, keptIn string, log zerolog.Logger, count *counters.Set) *Desk {
	now := time.Now()
	if keptIn == "" {
		keptIn = "memory"
	}
	return &Desk{in: eventqueue.New[note](), tell: tell, book: override.New(lim), keeper: keeper, keptIn: keptIn, log: log, count: count,
		start: now, unix: float64(now.UnixNano()) / 1e9, ended: make(chan struct{})}
}

// Restore takes what was kept, before anything else is told.
func (d *Desk) Restore(revision override.Revision, held []override.Override, changes []override.Change) {
	d.recent = append(d.recent, changes...)
	d.ends(d.book.Restore(d.Now(), revision, held, changes))
}

// Now is the clock in Unix seconds, by its monotonic reading since the start.
func (d *Desk) Now() float64 { return d.unix + time.Since(d.start).Seconds() }

// Put takes what the register tells. What is known at the start may be taken before Run, by Settle.
func (d *Desk) Put(events ...mixer.Event) { d.in.Put(note{kind: listCame, events: events}) }

// Settle does at once all that waits, so that the module hears of what holds before its first lookup. Run has not begun.
func (d *Desk) Settle() { d.work(nil) }

// Do sends a command; its result comes once it is kept. A full desk refuses it at once.
func (d *Desk) Do(c override.Command) <-chan Result {
	n := note{kind: commanded, command: c, reply: make(chan Result, 1)}
	d.in.Put(n)
	return n.reply
}

// asks runs a question on the desk's goroutine. It reports whether the desk still runs.
func (d *Desk) asks(f func(*Desk)) bool {
	done := make(chan struct{})
	d.in.Put(note{kind: asked, ask: func(d *Desk) { f(d); close(done) }})
	select {
	case <-done:
		return true
	case <-d.ended:
		return false
	}
}

// View tells what holds.
func (d *Desk) View() (v View) {
	d.asks(func(d *Desk) {
		v = View{d.book.Revision(), d.Now(), d.keptIn, d.book.Status(), d.book.Returns()}
	})
	return v
}

// Explain says why parts of a shard go to a searcher or not.
func (d *Desk) Explain(s logic.ShardID, index, searcher string) (e override.Explanation, err error) {
	d.asks(func(d *Desk) { e, err = d.book.Explain(s, index, searcher) })
	return e, err
}

// History tells the last changes, oldest first.
func (d *Desk) History(most int) (list []override.Change) {
	d.asks(func(d *Desk) { list = slices.Clone(d.recent[max(0, len(d.recent)-most):]) })
	return list
}

// Watch tells the changes after a revision that are still in memory, and all that come.
func (d *Desk) Watch(from override.Revision) *Watcher {
	w := &Watcher{C: make(chan override.Change, recent+behind)}
	if !d.asks(func(d *Desk) {
		for _, c := range d.recent[max(0, len(d.recent)-recent):] {
			if c.Revision > from {
				w.C <- c
			}
		}
		d.watchers = append(d.watchers, w)
	}) {
		close(w.C)
	}
	return w
}

// Unwatch lets a watcher go.
func (d *Desk) Unwatch(w *Watcher) { d.in.Put(note{kind: unwatched, watcher: w}) }

// Stop ends the actor; commands that wait get no result.
func (d *Desk) Stop() {
	d.in.Put(note{kind: stop})
	<-d.ended
}

// Ended is closed once the actor has.
func (d *Desk) Ended() <-chan struct{} { return d.ended }

// Run is the actor's goroutine.
func (d *Desk) Run() {
	defer close(d.ended)
	defer func() {
		for _, w := range d.watchers {
			d.drop(w)
		}
	}()
	var notes []note
	timer := time.NewTimer(0)
	for {
		select {
		case <-d.in.Ready():
		case <-timer.C:
		}
		var on bool
		if notes, on = d.work(notes); !on {
			return
		}
		if next := d.book.Next(d.Now()); math.IsInf(next, 1) {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Duration(max(0, next-d.Now()) * float64(time.Second)))
		}
	}
}

// work does all that waits, and what the time alone brings.
func (d *Desk) work(notes []note) (spare []note, on bool) {
	notes = d.in.Take(notes)
	for i := range notes {
		if notes[i].kind == stop {
			return notes, false
		}
		d.hear(&notes[i])
	}
	d.ends(d.book.Due(d.Now()))
	d.patch()
	return notes, true
}

func (d *Desk) hear(n *note) {
	switch n.kind {
	case listCame:
		for i := range n.events {
			d.listed(&n.events[i])
		}
	case commanded:
		if len(d.waiting) >= mostWaiting {
			n.reply <- Result{Err: &override.Refusal{Code: override.TooMany, Text: "too many commands wait for the disk"}}
			return
		}
		d.waiting = append(d.waiting, *n)
		d.next()
	case kept:
		d.finish(n.err)
		d.next()
	case asked:
		n.ask(d)
	case unwatched:
		d.drop(n.watcher)
	}
}

// listed takes the list to the book, and on to the module together with what changes by it.
func (d *Desk) listed(e *mixer.Event) {
	if e.Kind != logic.ListChanged || e.List == logic.ListFailed {
		d.tell.Put(*e)
		return
	}
	members := make([]override.Member, len(e.Entries))
	for i, r := range e.Entries {
		members[i] = override.Member{Name: e.Names[i].Searcher, ID: r.Searcher, Location: e.Names[i].Location, Cell: r.Cell,
			Phase: r.Phase, Share: r.Share, Started: r.StartedAt}
	}
	d.ends(d.book.List(d.Now(), e.List != logic.ListPatch, members))
	if patch := d.book.Patch(d.Now()); patch != nil {
		d.tell.Put(*e, overridden(patch))
		return
	}
	d.tell.Put(*e)
}

func overridden(patch *logic.Overrides) mixer.Event {
	return mixer.Event{Event: logic.Event{Kind: logic.OverridesChanged, Override: patch}}
}

func (d *Desk) patch() {
	if patch := d.book.Patch(d.Now()); patch != nil {
		d.tell.Put(overridden(patch))
	}
}

// next takes the next command in hand, once the one before is kept.
func (d *Desk) next() {
	for d.inHand == nil && len(d.waiting) > 0 {
		n := d.waiting[0]
		d.waiting = d.waiting[1:]
		change, again, err := d.book.Decide(d.Now(), &n.command)
		if again || err != nil {
			if err != nil {
				d.count.Add("overrides", "refused", 1)
			}
			n.reply <- Result{change, again, err}
			continue
		}
		d.book.Reserve(change)
		d.inHand, d.change = &n, change
		if d.keeper == nil {
			d.finish(nil)
			continue
		}
		d.keeper.Keep([]override.Change{change}, func(err error) { d.in.Put(note{kind: kept, err: err}) })
	}
}

// finish ends the command in hand, once it is kept or can't be.
func (d *Desk) finish(err error) {
	n := d.inHand
	d.inHand = nil
	if err != nil {
		d.count.Add("overrides", "not_kept", 1)
		d.log.Error().Str("text", err.Error()).Uint64("revision", uint64(d.change.Revision)).Msg("override not kept, refused")
		n.reply <- Result{d.change, false, err}
		return
	}
	d.book.Apply(d.change)
	d.patch() // the module hears of it before its sender does
	d.told(d.change)
	n.reply <- Result{Change: d.change}
}

// ends keeps and tells what has ended by itself; it has ended whether it is kept or not.
func (d *Desk) ends(changes []override.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		d.told(c)
	}
	if d.keeper != nil {
		d.keeper.Keep(changes, func(err error) {
			if err != nil {
				d.count.Add("overrides", "end_not_kept", int64(len(changes)))
				d.log.Error().Str("text", err.Error()).Msg("end of overrides not kept; after a restart they end again")
			}
		})
	}
}

func (d *Desk) told(c override.Change) {
	d.count.Add("overrides", c.What.String(), 1)
	o := &c.Override
	d.log.Info().Uint64("revision", uint64(c.Revision)).Str("what", c.What.String()).Uint64("override", uint64(o.ID)).
		Stringer("kind", o.Kind).Str("searcher", o.Searcher).Str("location", o.Location).Str("index", o.Index).
		Str("author", c.Author).Str("text", c.Reason).Strs("forced", c.Forced).Msg("override")
	if d.recent = append(d.recent, c); len(d.recent) > 2*recent {
		d.recent = slices.Clone(d.recent[recent:])
	}
	for _, w := range slices.Clone(d.watchers) {
		select {
		case w.C <- c:
		default:
			d.drop(w)
		}
	}
}

func (d *Desk) drop(w *Watcher) {
	if !w.out {
		w.out = true
		close(w.C)
	}
	d.watchers = slices.DeleteFunc(d.watchers, func(o *Watcher) bool { return o == w })
}
