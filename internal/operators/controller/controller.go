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
	// watcherLag is how many changes a watcher may lag; then it is let go, to begin anew.
	watcherLag = 256
	// mostWaiting commands may wait: as many as the listener's connections, each of which sends one at a time, and a margin.
	mostWaiting = 64
)

// Store keeps changes; Save may not block, and calls done from another goroutine.
type Store interface {
	Save(changes []override.Change, done func(error))
}

// Result is what became of a command: a *override.Refusal, or an error of the keeper's.
type Result struct {
	Change   override.Change
	Repeated bool // it had acted before
	Err      error
}

// View is what holds, as it is shown.
type View struct {
	Revision   override.Revision
	Now        float64
	Storage    string // where: "memory" or a directory
	Overrides  []override.Status
	Recoveries []override.Recovery
}

type messageKind uint8

const (
	membershipChanged messageKind = iota // events
	commanded
	stored // err, of the current command
	requested
	unwatched
	stop
)

type message struct {
	kind    messageKind
	events  []aggregator.Event
	command override.Command
	reply   chan Result
	err     error
	request func(*Controller)
	watcher *Watcher
}

// Controller is the actor.
type Controller struct {
	in            *eventqueue.Queue[message]
	moduleEvents  *eventqueue.Queue[aggregator.Event]
	table         *override.Table
	store         Store
	storedIn      string
	log           *zap.Logger
	count         *counters.Set
	start         time.Time
	unix          float64
	recent        []override.Change
	watchers      []*Watcher
	pending       []message // commands behind the current one
	current       *message
	pendingChange override.Change // that is being stored
	ended         chan struct{}
}

// New makes the actor before the first list. A nil keeper keeps nothing beyond the process.
func New(lim override.Limits, moduleEvents *eventqueue.Queue[aggregator.Event], store Store, storedIn string, log *zap.Logger, count *counters.Set) *Controller {
	now := time.Now()
	if storedIn == "" {
		storedIn = "memory"
	}
	return &Controller{in: eventqueue.New[message](), moduleEvents: moduleEvents, table: override.New(lim), store: store, storedIn: storedIn, log: log, count: count,
		start: now, unix: float64(now.UnixNano()) / 1e9, ended: make(chan struct{})}
}

// Restore takes what was stored, before any other event.
func (c *Controller) Restore(revision override.Revision, live []override.Override, changes []override.Change) {
	c.recent = append(c.recent, changes...)
	c.storeEnded(c.table.Restore(c.Now(), revision, live, changes))
}

// Now is the clock in Unix seconds, by its monotonic reading since the start.
func (c *Controller) Now() float64 { return c.unix + time.Since(c.start).Seconds() }

// Put takes what the register tells. What is known at the start may be taken before Run, by Settle.
func (c *Controller) Put(events ...aggregator.Event) {
	c.in.Put(message{kind: membershipChanged, events: events})
}

// ProcessPending handles all pending messages at once, so that the module knows the overrides before its first query. Run has not begun.
func (c *Controller) ProcessPending() { c.process(nil) }

// Do submits a command; its result comes once its change is stored. A controller with too many pending commands rejects it at once.
func (c *Controller) Do(command override.Command) <-chan Result {
	n := message{kind: commanded, command: command, reply: make(chan Result, 1)}
	c.in.Put(n)
	return n.reply
}

// request runs a question on the controller's goroutine. It reports whether the controller still runs.
func (c *Controller) request(f func(*Controller)) bool {
	done := make(chan struct{})
	c.in.Put(message{kind: requested, request: func(c *Controller) { f(c); close(done) }})
	select {
	case <-done:
		return true
	case <-c.ended:
		return false
	}
}

// View tells what holds.
func (c *Controller) View() (v View) {
	c.request(func(c *Controller) {
		v = View{c.table.Revision(), c.Now(), c.storedIn, c.table.Status(), c.table.Recoveries()}
	})
	return v
}

// Explain says why parts of a shard go to a backend or not.
func (c *Controller) Explain(s policy.ShardID, index, backend string) (e override.Explanation, err error) {
	c.request(func(c *Controller) { e, err = c.table.Explain(s, index, backend) })
	return e, err
}

// History tells the last changes, oldest first.
func (c *Controller) History(most int) (list []override.Change) {
	c.request(func(c *Controller) { list = slices.Clone(c.recent[max(0, len(c.recent)-most):]) })
	return list
}

// Stop ends the actor; pending commands get no result.
func (c *Controller) Stop() {
	c.in.Put(message{kind: stop})
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
	var messages []message
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.in.Ready():
		case <-timer.C:
		}
		var on bool
		if messages, on = c.process(messages); !on {
			return
		}
		if next := c.table.NextDeadline(c.Now()); math.IsInf(next, 1) {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Duration(max(0, next-c.Now()) * float64(time.Second)))
		}
	}
}

// process does all that waits, and what the time alone brings.
func (c *Controller) process(messages []message) (spare []message, on bool) {
	messages = c.in.Take(messages)
	for i := range messages {
		if messages[i].kind == stop {
			return messages, false
		}
		c.receive(&messages[i])
	}
	c.storeEnded(c.table.Expire(c.Now()))
	c.patch()
	return messages, true
}

func (c *Controller) receive(n *message) {
	switch n.kind {
	case membershipChanged:
		for i := range n.events {
			c.applyMembership(&n.events[i])
		}
	case commanded:
		if len(c.pending) >= mostWaiting {
			n.reply <- Result{Err: &override.Refusal{Code: override.TooMany, Text: "too many commands wait for the disk"}}
			return
		}
		c.pending = append(c.pending, *n)
		c.next()
	case stored:
		c.finish(n.err)
		c.next()
	case requested:
		n.request(c)
	case unwatched:
		c.drop(n.watcher)
	}
}

// applyMembership takes the list to the table, and on to the module together with what changes by it.
func (c *Controller) applyMembership(e *aggregator.Event) {
	if e.Kind != policy.ListChanged || e.List == policy.ListFailed {
		c.moduleEvents.Put(*e)
		return
	}
	members := make([]override.Member, len(e.Entries))
	for i, r := range e.Entries {
		members[i] = override.Member{Name: e.Names[i].Backend, ID: r.Backend, Location: e.Names[i].Location, Cell: r.Cell,
			Phase: r.Phase, Share: r.Share, StartedAt: r.StartedAt}
	}
	c.storeEnded(c.table.UpdateMembership(c.Now(), e.List != policy.ListPatch, members))
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.moduleEvents.Put(*e, overridden(patch))
		return
	}
	c.moduleEvents.Put(*e)
}

func overridden(patch *policy.Overrides) aggregator.Event {
	return aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged, Override: patch}}
}

func (c *Controller) patch() {
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.moduleEvents.Put(overridden(patch))
	}
}

// next starts the next pending command, once the one before is stored.
func (c *Controller) next() {
	for c.current == nil && len(c.pending) > 0 {
		n := c.pending[0]
		c.pending = c.pending[1:]
		change, repeated, err := c.table.Decide(c.Now(), &n.command)
		if repeated || err != nil {
			if err != nil {
				c.count.Add("overrides", "refused", 1)
			}
			n.reply <- Result{change, repeated, err}
			continue
		}
		c.table.Reserve(change)
		c.current, c.pendingChange = &n, change
		if c.store == nil {
			c.finish(nil)
			continue
		}
		c.store.Save([]override.Change{change}, func(err error) { c.in.Put(message{kind: stored, err: err}) })
	}
}

// finish completes the current command, once its change is stored or storing it has failed.
func (c *Controller) finish(err error) {
	n := c.current
	c.current = nil
	if err != nil {
		c.count.Add("overrides", "not_kept", 1)
		c.log.Error("override not stored; command rejected", zap.String("text", err.Error()), zap.Uint64("revision", uint64(c.pendingChange.Revision)))
		n.reply <- Result{c.pendingChange, false, err}
		return
	}
	c.table.Apply(c.pendingChange)
	c.patch() // the module hears of it before its sender does
	c.notify(c.pendingChange)
	n.reply <- Result{Change: c.pendingChange}
}

// storeEnded stores what has ended by itself and notifies watchers; it has ended whether it can be stored or not.
func (c *Controller) storeEnded(changes []override.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		c.notify(change)
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
