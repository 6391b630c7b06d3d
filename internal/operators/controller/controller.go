// Package controller runs the goroutine that owns an aggregator's table of overrides. It executes operators' commands,
// stores and publishes the changes, and answers queries about the overrides.
//
// Membership updates pass through the controller on their way to the decision module. The module therefore receives a
// membership update and the overrides that result from it in one step, and never uses a listed backend without its
// overrides.
//
// The aggregator's node feeds it membership events, and the operators' API submits commands and queries. It does not
// evaluate the rules of overrides itself, which is the task of package override.
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
	// maxRecentChanges is how many of the latest changes a new watcher can receive. Up to twice as many are kept in memory,
	// for the history.
	maxRecentChanges = 1000
	// maxWatcherLag is how many unread changes a watcher may have in addition to maxRecentChanges. A watcher that lags
	// further is removed and has to start again.
	maxWatcherLag = 256
	// maxPendingCommands is how many commands may wait. It is the number of connections that the listener accepts, each of
	// which sends one command at a time, plus a margin.
	maxPendingCommands = 64
)

// Store stores changes. Save must not block, and must call done from another goroutine.
type Store interface {
	Save(changes []override.Change, done func(error))
}

// Result is the result of a command. Err is an *override.Refusal, or an error of the Store.
type Result struct {
	Change   override.Change
	Repeated bool // the command was already applied
	Err      error
}

// View is a snapshot of the overrides, as operators see it.
type View struct {
	Revision   override.Revision
	Now        float64
	Storage    string // "memory", or the directory where the overrides are stored
	Overrides  []override.Status
	Recoveries []override.Recovery
}

type messageKind uint8

const (
	eventsReceived messageKind = iota // events
	commandReceived
	changeStored // err, of the current command
	callRequested
	watcherRemoved
	stopRequested
)

type message struct {
	kind     messageKind
	events   []aggregator.Event
	command  override.Command
	reply    chan Result
	err      error
	function func(*Controller)
	watcher  *Watcher
}

// Controller owns a table of overrides. Its methods may be called from any goroutine, except for Restore, ProcessPending and
// Run.
type Controller struct {
	inbox            *eventqueue.Queue[message]
	moduleEvents     *eventqueue.Queue[aggregator.Event]
	table            *override.Table
	store            Store
	storedIn         string
	logger           *zap.Logger
	counters         *counters.Set
	startTime        time.Time
	startUnixSeconds float64
	recentChanges    []override.Change
	watchers         []*Watcher
	pending          []message // commands that wait for the current one
	current          *message
	pendingChange    override.Change // of the current command, being stored
	done             chan struct{}
}

// New returns a controller that has received no membership list yet. With a nil store, the overrides are lost when the
// process ends. storedIn names the directory of the store for View, "" for none.
func New(limits override.Limits, moduleEvents *eventqueue.Queue[aggregator.Event], store Store, storedIn string, logger *zap.Logger, counterSet *counters.Set) *Controller {
	now := time.Now()
	if storedIn == "" {
		storedIn = "memory"
	}
	return &Controller{inbox: eventqueue.New[message](), moduleEvents: moduleEvents, table: override.New(limits), store: store, storedIn: storedIn, logger: logger, counters: counterSet,
		startTime: now, startUnixSeconds: float64(now.UnixNano()) / 1e9, done: make(chan struct{})}
}

// Restore loads the stored state. It must be called before any event is put.
func (c *Controller) Restore(revision override.Revision, live []override.Override, changes []override.Change) {
	c.recentChanges = append(c.recentChanges, changes...)
	c.storeEnded(c.table.Restore(c.Now(), revision, live, changes))
}

// Now returns the time in Unix seconds. It is the wall clock's time when the controller was created, plus the monotonic time
// since then.
func (c *Controller) Now() float64 { return c.startUnixSeconds + time.Since(c.startTime).Seconds() }

// Put queues events for the decision module, which includes membership updates. Events that are queued before Run starts
// can be handled by ProcessPending.
func (c *Controller) Put(events ...aggregator.Event) {
	c.inbox.Put(message{kind: eventsReceived, events: events})
}

// ProcessPending handles all pending messages, so that the decision module knows the overrides before its first query. It
// must be called before Run.
func (c *Controller) ProcessPending() { c.process(nil) }

// Submit queues a command. The result is sent when the change is stored or the command is refused. If too many commands are
// pending, the command is refused at once.
func (c *Controller) Submit(command override.Command) <-chan Result {
	m := message{kind: commandReceived, command: command, reply: make(chan Result, 1)}
	c.inbox.Put(m)
	return m.reply
}

// call runs a function on the controller's goroutine and waits for it. It reports whether the function has returned. It does not
// wait any longer once the controller has stopped.
func (c *Controller) call(function func(*Controller)) bool {
	done := make(chan struct{})
	c.inbox.Put(message{kind: callRequested, function: func(c *Controller) { function(c); close(done) }})
	select {
	case <-done:
		return true
	case <-c.done:
		return false
	}
}

// View returns a snapshot of the overrides.
func (c *Controller) View() (v View) {
	c.call(func(c *Controller) {
		v = View{c.table.Revision(), c.Now(), c.storedIn, c.table.Status(), c.table.Recoveries()}
	})
	return v
}

// Explain returns why subqueries of a shard are routed to a backend or not.
func (c *Controller) Explain(shard policy.ShardID, index, backend string) (explanation override.Explanation, err error) {
	c.call(func(c *Controller) { explanation, err = c.table.Explain(shard, index, backend) })
	return explanation, err
}

// History returns the last changes that are in memory, oldest first.
func (c *Controller) History(limit int) (list []override.Change) {
	c.call(func(c *Controller) { list = slices.Clone(c.recentChanges[max(0, len(c.recentChanges)-limit):]) })
	return list
}

// Stop stops the controller and waits until Run returns. Pending commands get no result.
func (c *Controller) Stop() {
	c.inbox.Put(message{kind: stopRequested})
	<-c.done
}

// Done returns a channel that is closed when Run returns.
func (c *Controller) Done() <-chan struct{} { return c.done }

// Run handles messages and timers until Stop is called.
func (c *Controller) Run() {
	defer close(c.done)
	defer func() {
		for _, w := range c.watchers {
			c.removeWatcher(w)
		}
	}()
	var messages []message
	timer := time.NewTimer(0)
	for {
		select {
		case <-c.inbox.Ready():
		case <-timer.C:
		}
		var running bool
		if messages, running = c.process(messages); !running {
			return
		}
		if deadline := c.table.NextDeadline(c.Now()); math.IsInf(deadline, 1) {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(time.Duration(max(0, deadline-c.Now()) * float64(time.Second)))
		}
	}
}

// process handles all pending messages, expires overrides and sends the resulting patch. It returns the slice of messages
// for reuse, and whether the controller continues to run.
func (c *Controller) process(messages []message) (spare []message, running bool) {
	messages = c.inbox.Take(messages)
	for i := range messages {
		if messages[i].kind == stopRequested {
			return messages, false
		}
		c.handle(&messages[i])
	}
	c.storeEnded(c.table.Expire(c.Now()))
	c.sendPatch()
	return messages, true
}

func (c *Controller) handle(m *message) {
	switch m.kind {
	case eventsReceived:
		for i := range m.events {
			c.forwardEvent(&m.events[i])
		}
	case commandReceived:
		if len(c.pending) >= maxPendingCommands {
			m.reply <- Result{Err: &override.Refusal{Code: override.TooMany, Text: "too many commands wait for the disk"}}
			return
		}
		c.pending = append(c.pending, *m)
		c.startNextCommand()
	case changeStored:
		c.finishCommand(m.err)
		c.startNextCommand()
	case callRequested:
		m.function(c)
	case watcherRemoved:
		c.removeWatcher(m.watcher)
	}
}

// forwardEvent forwards an event to the decision module. A membership update is applied to the table first, and is forwarded
// together with the overrides that change as a result.
func (c *Controller) forwardEvent(e *aggregator.Event) {
	if e.Kind != policy.ListChanged || e.List == policy.ListFailed {
		c.moduleEvents.Put(*e)
		return
	}
	members := make([]override.Member, len(e.Entries))
	for i, entry := range e.Entries {
		members[i] = override.Member{Name: e.Names[i].Backend, ID: entry.Backend, Location: e.Names[i].Location, Cell: entry.Cell,
			Phase: entry.Phase, Share: entry.Share, StartedAt: entry.StartedAt}
	}
	c.storeEnded(c.table.UpdateMembership(c.Now(), e.List != policy.ListPatch, members))
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.moduleEvents.Put(*e, overridesEvent(patch))
		return
	}
	c.moduleEvents.Put(*e)
}

func overridesEvent(patch *policy.Overrides) aggregator.Event {
	return aggregator.Event{Event: policy.Event{Kind: policy.OverridesChanged, Override: patch}}
}

func (c *Controller) sendPatch() {
	if patch := c.table.Patch(c.Now()); patch != nil {
		c.moduleEvents.Put(overridesEvent(patch))
	}
}

// startNextCommand starts the next pending command, unless the change of the current one is still being stored.
func (c *Controller) startNextCommand() {
	for c.current == nil && len(c.pending) > 0 {
		m := c.pending[0]
		c.pending = c.pending[1:]
		change, repeated, err := c.table.Decide(c.Now(), &m.command)
		if repeated || err != nil {
			if err != nil {
				c.counters.Add("overrides", "refused", 1)
			}
			m.reply <- Result{change, repeated, err}
			continue
		}
		c.table.Reserve(change)
		c.current, c.pendingChange = &m, change
		if c.store == nil {
			c.finishCommand(nil)
			continue
		}
		c.store.Save([]override.Change{change}, func(err error) { c.inbox.Put(message{kind: changeStored, err: err}) })
	}
}

// finishCommand completes the current command after its change was stored or storing it has failed.
func (c *Controller) finishCommand(err error) {
	m := c.current
	c.current = nil
	if err != nil {
		c.counters.Add("overrides", "not_kept", 1)
		c.logger.Error("override not stored; command rejected", zap.String("text", err.Error()), zap.Uint64("revision", uint64(c.pendingChange.Revision)))
		m.reply <- Result{c.pendingChange, false, err}
		return
	}
	c.table.Apply(c.pendingChange)
	c.sendPatch() // the decision module receives the change before the sender receives the result
	c.publish(c.pendingChange)
	m.reply <- Result{Change: c.pendingChange}
}

// storeEnded publishes and stores the changes of overrides that ended without a command. A failure to store them is only
// logged, because the overrides have ended already.
func (c *Controller) storeEnded(changes []override.Change) {
	if len(changes) == 0 {
		return
	}
	for _, change := range changes {
		c.publish(change)
	}
	if c.store != nil {
		c.store.Save(changes, func(err error) {
			if err != nil {
				c.counters.Add("overrides", "end_not_kept", int64(len(changes)))
				c.logger.Error("end of overrides not stored; they end again after a restart", zap.String("text", err.Error()))
			}
		})
	}
}
