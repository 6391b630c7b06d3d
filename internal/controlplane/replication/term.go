package replication

import (
	"sync"
	"sync/atomic"
	"time"
)

// Handler acts as leader of the groups in which this node is elected. The calls for one term are made one after another.
type Handler interface {
	// Elected is called once a majority has stored the adopted state in the new term. The handler may keep and change the
	// map, but must not modify the values.
	Elected(term *Term, state map[string][]byte)
	// Deposed is called once, after the term has ended and after the last committed callback.
	Deposed(term *Term)
}

// Term is a handle for the term of a leader in one group.
type Term struct {
	group      string
	number     uint64
	clock      Clock
	handler    Handler
	propose    func(entries []Entry, committed func())
	resign     func()
	validUntil atomic.Int64 // end of the lease as a clock reading, in nanoseconds
	resigned   atomic.Bool  // set by Resign and never reset
	ended      chan struct{}
	endOnce    sync.Once
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

// Group returns the name of the group.
func (t *Term) Group() string { return t.group }

// Number returns the term number, which is higher than that of every earlier leader of the group.
func (t *Term) Number() uint64 { return t.number }

// Propose queues entries to be written. Entries of a later proposal overwrite earlier entries with the same key. The function
// committed is called once a majority has synced the entries, in the order of the proposals and one call at a time. It is
// never called after the term has ended, and may be nil. A proposal without entries waits for all earlier proposals.
func (t *Term) Propose(entries []Entry, committed func()) { t.propose(entries, committed) }

// Valid reports whether the lease of the leader is valid at this moment. It always returns false after Resign.
func (t *Term) Valid() bool {
	return !t.resigned.Load() && t.clock.Now() < time.Duration(t.validUntil.Load())
}

// Ended returns a channel that is closed when the term ends.
func (t *Term) Ended() <-chan struct{} { return t.ended }

// Resign ends the term and notifies the other replicas, so that they do not have to wait for the lease to expire. Valid returns
// false as soon as Resign is called, even if a step of the node is still running.
func (t *Term) Resign() {
	t.resigned.Store(true)
	t.resign()
}

func (t *Term) extendLease(until time.Duration) {
	if int64(until) > t.validUntil.Load() {
		t.validUntil.Store(int64(until))
	}
}

func (t *Term) hasEnded() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// announceElected queues the call of Handler.Elected. Handler.Deposed is called afterwards in every case, even if the term has
// ended by then.
func (t *Term) announceElected(state map[string][]byte) {
	t.callbacks.add(func() {
		t.handler.Elected(t, state)
	})
	t.callbacks.last = func() { t.handler.Deposed(t) }
}

func (t *Term) enqueue(committed func()) {
	t.callbacks.add(func() {
		if !t.hasEnded() {
			committed()
		}
	})
}

// finish ends the term. Commit callbacks that are still queued are not called.
func (t *Term) finish() {
	t.endOnce.Do(func() {
		t.validUntil.Store(int64(never))
		close(t.ended)
		if t.callbacks.last != nil {
			t.callbacks.add(t.callbacks.last)
		}
	})
}
