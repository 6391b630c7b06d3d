package replication

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// rejectionBackoff is how long a replica neither votes nor campaigns after the disk has rejected a write. It leaves the
	// others time to elect a leader.
	rejectionBackoff = time.Second
	// stallLimit is how long a write may take until the disk counts as stalled.
	stallLimit = time.Second
)

// writeFailed decides what a failed write means: a rejected one has left the store as it was, and later ones may succeed.
func (c *core) writeFailed(err error) {
	if rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		c.fail(err)
		return
	}
	c.log.Warn("disk rejects writes; replica does not vote", zap.Error(err))
	c.writesRejectedUntil = c.now + rejectionBackoff
	c.resignAll(false)
}

// fail ends this node's voting and leading: a store that failed for good takes no more writes.
func (c *core) fail(err error) {
	if c.failed {
		return
	}
	c.log.Error("store failed; replica no longer votes", zap.Error(err))
	c.failed = true
	c.resignAll(false)
}

// storeWritable tells whether the disk takes writes, as far as is known.
func (c *core) storeWritable() bool {
	return !c.failed && c.now >= c.writesRejectedUntil && !c.diskStalled()
}

// diskStalled tells whether a write has been on its way to the disk for too long.
func (c *core) diskStalled() bool {
	for _, g := range c.groups {
		if g.replica.writing && c.now-g.replica.writeStarted > stallLimit {
			return true
		}
	}
	return false
}
