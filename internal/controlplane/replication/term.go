package replication

import (
	"sync"
	"sync/atomic"
	"time"
)

// Handler acts as leader of the groups of which this node is elected. Its methods are called on one goroutine per term.
type Handler interface {
	// Elected is called once a majority holds the adopted state under the new term. The state is the handler's to
	// keep; the values in it must not be modified.
	Elected(term *Term, state map[string][]byte)
	// Deposed is called once after the term has ended, and after the last committed callback.
	Deposed(term *Term)
}

// Term is the handle of one leader's term in one group.
type Term struct {
	group      string
	number     uint64
	clock      Clock
	handler    Handler
	propose    func(entries []Entry, committed func())
	resign     func()
	validUntil atomic.Int64 // by the clock, in nanoseconds
	resigned   atomic.Bool  // by Resign; never withdrawn
	ended      chan struct{}
	once       sync.Once
	callbacks  callbackQueue
}

func newTerm(c *core, l *leadership) *Term {
	t := &Term{group: l.group.name, number: l.termNumber, clock: c.clock, handler: c.handler, ended: make(chan struct{})}
	t.validUntil.Store(int64(never))
	t.callbacks.spawn = c.spawn
	t.propose = func(entries []Entry, committed func()) { c.runStep(func() { l.propose(entries, committed) }) }
	t.resign = func() { c.runStep(func() { l.resign(false) }) }
	return t
}

// Group returns the group's name.
func (t *Term) Group() string { return t.group }

// Number returns the number of the term, which is higher than that of every earlier leader of the group.
func (t *Term) Number() uint64 { return t.number }

// Propose queues entries to be written. Entries of a later proposal win over earlier ones of the same key. Once a
// majority has synced them committed is called, in the order of the proposals, on the term's goroutine; it is never
// called after the term has ended. A proposal without entries waits for those before it. committed may be nil.
func (t *Term) Propose(entries []Entry, committed func()) { t.propose(entries, committed) }

// Valid tells whether the leader's lease holds right now. After Resign it never does.
func (t *Term) Valid() bool {
	return !t.resigned.Load() && t.clock.Now() < time.Duration(t.validUntil.Load())
}

// Ended is closed when the term ends.
func (t *Term) Ended() <-chan struct{} { return t.ended }

// Resign ends the term and notifies the other replicas, so that they need not wait for the lease to expire. The term is valid no
// more from the call on, however long the node's current step takes.
func (t *Term) Resign() {
	t.resigned.Store(true)
	t.resign()
}

func (t *Term) extend(until time.Duration) {
	if int64(until) > t.validUntil.Load() {
		t.validUntil.Store(int64(until))
	}
}

func (t *Term) over() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// announceElected hands the term to the handler. Deposed follows however soon the term ends.
func (t *Term) announceElected(state map[string][]byte) {
	t.callbacks.add(func() {
		t.handler.Elected(t, state)
	})
	t.callbacks.last = func() { t.handler.Deposed(t) }
}

func (t *Term) enqueue(committed func()) {
	t.callbacks.add(func() {
		if !t.over() {
			committed()
		}
	})
}

// finish ends the term; callbacks still queued are dropped as they come up.
func (t *Term) finish() {
	t.once.Do(func() {
		t.validUntil.Store(int64(never))
		close(t.ended)
		if t.callbacks.last != nil {
			t.callbacks.add(t.callbacks.last)
		}
	})
}
