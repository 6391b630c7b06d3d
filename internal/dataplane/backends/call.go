package backends

import (
	"sync/atomic"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/policy"
)

// call is a call in flight. The embedded Call, name and batch never change.
type call struct {
	aggregator.Call
	name          string
	batch         *callBatch
	connection    *connection    // nil while the call waits for a connection
	written       bool           // its frame was written completely
	canceled      bool           // its cancel frame is queued or being written
	cancelOutcome policy.Outcome // the outcome to report for a canceled call
	writeState    atomic.Int32   // one of the write states; resolves the race between the actor, which may revoke the write, and the writer
}

// The write states of a call.
const (
	writePending int32 = iota
	writeStarted
	writeRevoked
)

// startWrite reports whether the connection's writer may write the call, and marks the write as started if so. The write may
// not start once the actor has revoked it, because the call was canceled, timed out or its backend is draining. It may not
// start after Begin either: the backend might then no longer recognize a retry as a duplicate.
func (c *call) startWrite(now time.Time) bool {
	if now.After(c.StartBy) {
		c.writeState.CompareAndSwap(writePending, writeRevoked)
	}
	return c.writeState.CompareAndSwap(writePending, writeStarted)
}

// revokeWrite revokes the call's write if it has not started. It reports whether the call was certainly not written and never
// will be.
func (c *call) revokeWrite() bool {
	return c.connection == nil || c.writeState.CompareAndSwap(writePending, writeRevoked) || c.writeState.Load() == writeRevoked
}

// callBatch holds the calls that share a frame. It counts as one call against the connection's limit.
type callBatch struct {
	calls   []*call
	pending int // calls that have not ended
}

// outcome returns the outcome of a call whose connection has ended. A call that was not written completely was not executed.
func (c *call) outcome() policy.Outcome {
	switch {
	case c.canceled:
		return c.cancelOutcome
	case c.written:
		return policy.Broken
	}
	return policy.NotConnected
}
