package configuration

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/transport"
)

// LearnCall is served by core mixers: another one tells of a configuration that a majority holds.
var LearnCall = transport.NewRepeatable[Learn, LearnReply]("/configuration/learn")

// learnTimeout bounds one such call. A member that misses it finds the change by its own quorum reads.
const learnTimeout = time.Second

// Learn carries a value of the register that a majority holds.
type Learn struct {
	Value []byte `msgpack:"v"`
}

// LearnReply tells which version the receiver knows afterwards.
type LearnReply struct {
	Version uint64 `msgpack:"v"`
}

// Mount serves the calls of other members.
func (c *Configurator) Mount(mux *transport.Mux) {
	transport.Handle(mux, LearnCall, func(_ context.Context, learn Learn) (LearnReply, error) {
		if err := c.learn(learn.Value); err != nil {
			return LearnReply{}, err
		}
		return LearnReply{Version: c.known().Version}, nil
	})
}

// tellMembers passes a value that a majority holds on to every other member, without waiting for them.
func (c *Configurator) tellMembers(value []byte) {
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
		c.announce.Go(func() { c.tell(member, value) })
	}
}

func (c *Configurator) tell(member string, value []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	if _, err := LearnCall.Call(ctx, c.options.Caller, member, Learn{Value: value}); err != nil {
		c.options.Logger.Debug("member not told of the configuration", zap.String("member", member), zap.Error(err))
	}
}
