package replication

import (
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// rpc is a request that the core wants sent. done runs within a step.
type rpc struct {
	address        string
	route          transport.Route
	timeout        time.Duration
	request, reply any
	done           func(err error)
}

// storeWrite is a change that the core wants synced. done runs within a step.
type storeWrite struct {
	changes []storage.Change
	done    func(err error)
}

// effects are what a step of the core asks for.
type effects struct {
	calls  []rpc
	writes []storeWrite
}

func (c *core) call(address string, route transport.Route, timeout time.Duration, request, reply any, done func(err error)) {
	c.effects.calls = append(c.effects.calls, rpc{address, route, timeout, request, reply, done})
}

// offload does work outside of the steps, which would be held up by it, and then runs a step. The work must not use the core.
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
