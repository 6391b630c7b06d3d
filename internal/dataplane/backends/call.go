package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// call is one part call that is out. name, the Call and its trip never change.
type call struct {
	aggregator.Call
	name       string
	trip       *trip
	connection *connection // nil while it waits for one
	written    bool
	back       bool           // given up, which its backend is being told
	how        policy.Outcome // then: as what
	begun      atomic.Int32   // its actor and its connection's writer settle by it which of them comes first
}

const (
	waits int32 = iota
	writes
	never
)

// begin tells its connection's writer whether its write may begin, however long it waited for that: it may not once it was
// taken back, its backend wants nothing new, nobody waits for it, or a repeat of it would no longer be known as one.
func (c *call) begin(now time.Time) bool {
	if now.After(c.Begin) {
		c.begun.CompareAndSwap(waits, never)
	}
	return c.begun.CompareAndSwap(waits, writes)
}

// takeBack tells its actor whether it surely is not written and never will be.
func (c *call) takeBack() bool {
	return c.connection == nil || c.begun.CompareAndSwap(waits, never) || c.begun.Load() == never
}

// trip is the calls that share one place on a connection.
type trip struct {
	calls []*call
	live  int
}

// outcome is that of a call whose connection can tell no more: what was never wholly written never ran.
func (c *call) outcome() policy.Outcome {
	switch {
	case c.back:
		return c.how
	case c.written:
		return policy.Broken
	}
	return policy.NotConnected
}
