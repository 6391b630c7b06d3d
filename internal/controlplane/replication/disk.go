package replication

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
)

const (
	// refusalPause is how long a replica neither votes nor campaigns after the disk has refused a write. It leaves the
	// others time to elect a leader.
	refusalPause = time.Second
	// stallLimit is how long a write may take until the disk counts as stalled.
	stallLimit = time.Second
)

// writeFailed decides what a failed write means: a refused one has left the store as it was, and later ones may succeed.
func (c *core) writeFailed(err error) {
	if rpcerror.Of(err) != rpcerror.NotRun {
		c.fail(err)
		return
	}
	c.log.Warn("the disk refuses writes; this replica does not vote for a while", zap.Error(err))
	c.refusedUntil = c.now + refusalPause
	c.resignAll(false)
}

// fail ends this node's part: a store that failed for good takes no more writes.
func (c *core) fail(err error) {
	if c.failed {
		return
	}
	c.log.Error("the store failed; this replica votes no more", zap.Error(err))
	c.failed = true
	c.resignAll(false)
}

// writes tells whether the disk takes writes, as far as is known.
func (c *core) writes() bool { return !c.failed && c.now >= c.refusedUntil && !c.stalled() }

// stalled tells whether a write has been on its way to the disk for too long.
func (c *core) stalled() bool {
	for _, g := range c.groups {
		if g.replica.writing && c.now-g.replica.writeTime > stallLimit {
			return true
		}
	}
	return false
}
