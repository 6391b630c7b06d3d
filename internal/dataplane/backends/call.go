package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// call is a call in flight. name, the Call and shared never change.
type call struct {
	aggregator.Call
	name          string
	shared        *sharedCall
	connection    *connection // nil while it waits for one
	written       bool
	canceled      bool           // its cancel frame is being written
	cancelOutcome policy.Outcome // the outcome of a canceled call
	writeState    atomic.Int32   // decides whether its actor or its connection's writer comes first
}

const (
	writeWaiting int32 = iota
	writeStarted
	writeRevoked
)

// startWrite tells its connection's writer whether its write may begin, however long it waited for that: it may not once it was
// taken back, its backend wants nothing new, nobody waits for it, or a repeat of it would no longer be known as one.
func (c *call) startWrite(now time.Time) bool {
	if now.After(c.StartBy) {
		c.writeState.CompareAndSwap(writeWaiting, writeRevoked)
	}
	return c.writeState.CompareAndSwap(writeWaiting, writeStarted)
}

// revokeWrite tells its actor whether it surely was not written and never will be.
func (c *call) revokeWrite() bool {
	return c.connection == nil || c.writeState.CompareAndSwap(writeWaiting, writeRevoked) || c.writeState.Load() == writeRevoked
}

// sharedCall has the calls that share a frame; it counts as one on its connection.
type sharedCall struct {
	calls []*call
	live  int
}

// outcome is that of a call whose connection has ended: a call that was not completely written was not executed.
func (c *call) outcome() policy.Outcome {
	switch {
	case c.canceled:
		return c.cancelOutcome
	case c.written:
		return policy.Broken
	}
	return policy.NotConnected
}
