package replication

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// rejectionBackoff is the time during which a replica neither votes nor campaigns after the disk has rejected a write. It
	// gives the other replicas time to elect a leader.
	rejectionBackoff = time.Second
	// stallLimit is the duration of a write after which the disk counts as stalled.
	stallLimit = time.Second
)

// writeFailed handles a failed write. A rejected write has not changed the store, and later writes may succeed. Any other
// failure is permanent.
func (c *core) writeFailed(err error) {
	if rpcerror.ExecutionOf(err) != rpcerror.NotExecuted {
		c.fail(err)
		return
	}
	c.log.Warn("disk rejects writes; replica does not vote", zap.Error(err))
	c.writesRejectedUntil = c.now + rejectionBackoff
	c.resignAll(false)
}

// fail permanently stops this node from voting and leading, as a store that has failed accepts no more writes.
func (c *core) fail(err error) {
	if c.failed {
		return
	}
	c.log.Error("store failed; replica no longer votes", zap.Error(err))
	c.failed = true
	c.resignAll(false)
}

// storeWritable reports whether the disk is assumed to accept writes.
func (c *core) storeWritable() bool {
	return !c.failed && c.now >= c.writesRejectedUntil && !c.diskStalled()
}

// diskStalled reports whether a write has been in progress for longer than stallLimit.
func (c *core) diskStalled() bool {
	for _, g := range c.groups {
		if g.replica.writing && c.now-g.replica.writeStarted > stallLimit {
			return true
		}
	}
	return false
}
