package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// rpc is a request that the core wants to send. Its callback done runs within a step.
type rpc struct {
	address        string
	route          transport.Route
	timeout        time.Duration
	request, reply any
	done           func(err error)
}

// storeWrite is a list of changes that the core wants to sync to disk. Its callback done runs within a step.
type storeWrite struct {
	changes []storage.Change
	done    func(err error)
}

// effects are the calls and writes that a step of the core has requested.
type effects struct {
	calls  []rpc
	writes []storeWrite
}

func (c *core) call(address string, route transport.Route, timeout time.Duration, request, reply any, done func(err error)) {
	c.effects.calls = append(c.effects.calls, rpc{address, route, timeout, request, reply, done})
}

// offload runs work on another goroutine, as it would block other steps for too long, and then runs done as a step. The work
// must not access the core.
func (c *core) offload(work, done func()) {
	c.spawn(func() {
		work()
		c.runStep(done)
	})
}

func (c *core) write(changes []storage.Change, done func(err error)) {
	c.effects.writes = append(c.effects.writes, storeWrite{changes, func(err error) {
		if err != nil {
			c.writeFailed(err)
		}
		done(err)
	}})
}

func (c *core) takeEffects() effects {
	taken := c.effects
	c.effects = effects{}
	return taken
}
