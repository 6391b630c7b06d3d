package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// LearnCall is served by core nodes: another one tells that a majority holds a newer configuration.
var LearnCall = transport.NewRepeatable[Learn, LearnReply]("/configuration/learn")

// learnTimeout bounds one such call. A member that misses it finds the change by its own quorum reads.
const learnTimeout = time.Second

// Learn names a version that a majority holds. The receiver reads it from a majority, most often out of its own replica of
// the register, so that the configuration itself is sent to each member once, when the member accepts it.
type Learn struct {
	Version uint64 `msgpack:"n"`
	Value   []byte `msgpack:"v,omitempty"` // the register's value in its place, from builds that send it
}

// LearnReply tells which version the receiver knows so far.
type LearnReply struct {
	Version uint64 `msgpack:"v"`
}

// Mount serves the calls of other members.
func (c *Configurator) Mount(mux *transport.Mux) {
	transport.Handle(mux, LearnCall, func(_ context.Context, learn Learn) (LearnReply, error) {
		if len(learn.Value) > 0 {
			if err := c.learn(learn.Value); err != nil {
				return LearnReply{}, err
			}
		}
		known := c.known().Version
		if learn.Version > known {
			c.readSoon()
		}
		return LearnReply{Version: known}, nil
	})
}

// readSoon makes Run read at once, or again if it is reading.
func (c *Configurator) readSoon() {
	select {
	case c.toldNewer <- struct{}{}:
	default:
	}
}

// tellMembers tells every other member of a version that a majority holds, without waiting for them.
func (c *Configurator) tellMembers(version uint64) {
	members := c.options.Members().Members
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return
	}
	for _, member := range members {
		if member == c.options.Address {
			continue
		}
		c.announce.Go(func() { c.tell(member, version) })
	}
}

func (c *Configurator) tell(member string, version uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	if _, err := LearnCall.Call(ctx, c.options.Caller, member, Learn{Version: version}); err != nil {
		c.options.Logger.Debug("member not told of the configuration", zap.String("member", member), zap.Error(err))
	}
}
