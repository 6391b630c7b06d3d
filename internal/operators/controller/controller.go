// Package controller is the actor of overrides. It alone touches their table; it hears the list before the module does, so
// that what the list names and what is overridden of it reach the module in one step; and it answers operators. It
// decides nothing.
package controller

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/eventqueue"
	"puffinlink.example/puffinlink/internal/operators/override"
	"puffinlink.example/puffinlink/policy"
)

const (
	// recent is how many changes are kept in memory, to be shown and to be told to whoever watches from a revision.
	recent = 1000
	// behind is how many changes a watcher may lag; then it is let go, to begin anew.
	behind = 256
	// waiting commands: as many as the listener's connections, each of which sends one at a time, and a margin.
	mostWaiting = 64
)

// Store keeps changes; Save may not block, and calls done from another goroutine.
type Store interface {
	Save(changes []override.Change, done func(error))
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
	stored // err, of the command in hand
	asked
	unwatched
	stop
)

type note struct {
	kind    noteKind
	events  []aggregator.Event
	command override.Command
	reply   chan Result
	err     error
	ask     func(*Controller)
	watcher *Watcher
}

// Controller is the actor.
type Controller struct {
	in       *eventqueue.Queue[note]
	tell     *eventqueue.Queue[aggregator.Event]
	table    *override.Table
	store    Store
	storedIn string
	log      *zap.Logger
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
func New(lim override.Limits, tell *eventqueue.Queue[aggregator.Event], store Store, storedIn string, log *zap.Logger, count *counters.Set) *Controller {
	now := time.Now()
	if storedIn == "" {
		storedIn = "memory"
	}
	return &Controller{in: eventqueue.New[note](), tell: tell, table: override.New(lim), store: store, storedIn: storedIn, log: log, count: count,
		start: now, unix: float64(now.UnixNano()) / 1e9, ended: make(chan struct{})}
}

// Restore takes what was kept, before anything else is told.
func (c *Controller) Restore(revision override.Revision, held []override.Override, changes []override.Change) {
	c.recent = append(c.recent, changes...)
	c.ends(c.table.Restore(c.Now(), revision, held, changes))
}

// Now is the clock in Unix seconds, by its monotonic reading since the start.
func (c *Controller) Now() float64 { return c.unix + time.Since(c.start).Seconds() }

// Put takes what the register tells. What is known at the start may be taken before Run, by Settle.
func (c *Controller) Put(events ...aggregator.Event) { c.in.Put(note{kind: listCame, events: events}) }

// Settle does at once all that waits, so that the module hears of what holds before its first query. Run has not begun.
func (c *Controller) Settle() { c.work(nil) }

// Do sends a command; its result comes once it is kept. A full controller refuses it at once.
func (c *Controller) Do(command override.Command) <-chan Result {
	n := note{kind: commanded, command: command, reply: make(chan Result, 1)}
	c.in.Put(n)
	return n.reply
}

// asks runs a question on the controller's goroutine. It reports whether the controller still runs.
func (c *Controller) asks(f func(*Controller)) bool {
	done := make(chan struct{})
	c.in.Put(note{kind: asked, ask: func(c *Controller) { f(c); close(done) }})
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}

// View tells what holds.
func (c *Controller) View() (v View) {
	c.asks(func(c *Controller) {
		v = View{c.table.Revision(), c.Now(), c.storedIn, c.table.Status(), c.table.Returns()}
	})
	return v
}

// Explain says why parts of a shard go to a backend or not.
func (c *Controller) Explain(s policy.ShardID, index, backend string) (e override.Explanation, err error) {
	c.asks(func(c *Controller) { e, err = c.table.Explain(s, index, backend) })
	return e, err
}

// History tells the last changes, oldest first.
func (c *Controller) History(most int) (list []override.Change) {
	c.asks(func(c *Controller) { list = slices.Clone(c.recent[max(0, len(c.recent)-most):]) })
	return list
}

// Stop ends the actor; commands that wait get no result.
func (c *Controller) Stop() {
	c.in.Put(note{kind: stop})
	<-c.ended
}

// Ended is closed once the actor has.
func (c *Controller) Ended() <-chan struct{} { return c.ended }

// Run is the actor's goroutine.
func (c *Controller) Run() {
	defer close(c.ended)
	defer func() {
		for _, w := range c.watchers {
			c.drop(w)
		}
	}()
	var notes []note
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.in.Ready():
		case <-timer.C:
		}
		var on bool
		if notes, on = c.work(notes); !on {
			return
		}
		if next := c.table.Next(c.Now()); math.IsInf(next, 1) {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Duration(max(0, next-c.Now()) * float64(time.Second)))
		}
	}
}

// work does all that waits, and what the time alone brings.
func (c *Controller) work(notes []note) (spare []note, on bool) {
	notes = c.in.Take(notes)
	for i := range notes {
		if notes[i].kind == stop {
			return notes, false
		}
		c.hear(&notes[i])
	}
	c.ends(c.table.Due(c.Now()))
	c.patch()
	return notes, true
}

func (c *Controller) hear(n *note) {
	switch n.kind {
	case listCame:
		for i := range n.events {
			c.listed(&n.events[i])
		}
	case commanded:
		if len(c.waiting) >= mostWaiting {
			n.reply <- Result{Err: &override.Refusal{Code: override.TooMany, Text: "too many commands wait for the disk"}}
			return
		}
		c.waiting = append(c.waiting, *n)
		c.next()
	case stored:
		c.finish(n.err)
		c.next()
	case asked:
		n.ask(c)
	case unwatched:
		c.drop(n.watcher)
	}
}

// listed takes the list to the table, and on to the module together with what changes by it.
func (c *Controller) listed(e *aggregator.Event) {
	if e.Kind != policy.ListChanged || e.List == policy.ListFailed {
		c.tell.Put(*e)
		return
	}
	members := make([]override.Member, len(e.Entries))
	for i, r := range e.Entries {
		members[i] = override.Member{Name: e.Names[i].Backend, ID: r.Backend, Location: e.Names[i].Location, Cell: r.Cell,
			Phase: r.Phase, Share: r.Share, Started: r.StartedAt}
	}
	c.ends(c.table.List(c.Now(), e.List != policy.ListPatch, members))
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.tell.Put(*e, overridden(patch))
		return
	}
	c.tell.Put(*e)
}

func overridden(patch *policy.Overrides) aggregator.Event {
	return aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged, Override: patch}}
}

func (c *Controller) patch() {
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.tell.Put(overridden(patch))
	}
}

// next takes the next command in hand, once the one before is kept.
func (c *Controller) next() {
	for c.inHand == nil && len(c.waiting) > 0 {
		n := c.waiting[0]
		c.waiting = c.waiting[1:]
		change, again, err := c.table.Decide(c.Now(), &n.command)
		if again || err != nil {
			if err != nil {
				c.count.Add("overrides", "refused", 1)
			}
			n.reply <- Result{change, again, err}
			continue
		}
		c.table.Reserve(change)
		c.inHand, c.change = &n, change
		if c.store == nil {
			c.finish(nil)
			continue
		}
		c.store.Save([]override.Change{change}, func(err error) { c.in.Put(note{kind: stored, err: err}) })
	}
}

// finish ends the command in hand, once it is kept or can't be.
func (c *Controller) finish(err error) {
	n := c.inHand
	c.inHand = nil
	if err != nil {
		c.count.Add("overrides", "not_kept", 1)
		c.log.Error("override not stored; command rejected", zap.String("text", err.Error()), zap.Uint64("revision", uint64(c.change.Revision)))
		n.reply <- Result{c.change, false, err}
		return
	}
	c.table.Apply(c.change)
	c.patch() // the module hears of it before its sender does
	c.told(c.change)
	n.reply <- Result{Change: c.change}
}

// ends keeps and tells what has ended by itself; it has ended whether it is kept or not.
func (c *Controller) ends(changes []override.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		c.told(change)
	}
	if c.store != nil {
		c.store.Save(changes, func(err error) {
			if err != nil {
				c.count.Add("overrides", "end_not_kept", int64(len(changes)))
				c.log.Error("end of overrides not stored; they end again after a restart", zap.String("text", err.Error()))
			}
		})
	}
}
