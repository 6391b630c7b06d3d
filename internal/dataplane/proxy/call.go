package proxy

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
)

var errNoLeader = errors.New("no leader of the group is known")

// leaderCall is one request to the leader of a replication group.
type leaderCall struct {
	kind    operation
	group   string
	route   transport.IdempotentRoute // as an attempt that may have been executed is followed by others
	request any
	allowed time.Duration // by the client and the route
}

// leaderCaller brings requests to the leaders of groups.
type leaderCaller struct {
	feed   *follower
	caller transport.Caller
	log    *zap.Logger
	now    func() time.Time
}

// run attempts a call, as often as the retrier decides, until it is answered into reply or given up. It gives up early when
// the context ends.
func (c *leaderCaller) run(ctx context.Context, begun time.Time, call leaderCall, reply any) decision {
	retrier := newRetrier(call.kind, call.allowed)
	if first := retrier.begin(c.now().Sub(begun)); first.finished {
		return first
	}
	for {
		term, err := c.attempt(ctx, call, retrier.attemptTime(c.now().Sub(begun)), reply)
		if err != nil {
			c.log.Debug("attempt failed", zap.String("path", call.route.Path()), zap.String("group", call.group), zap.Error(err))
		}
		decision := retrier.next(attemptOf(err), c.now().Sub(begun))
		if decision.finished {
			return decision
		}
		c.feed.awaitNewer(ctx, call.group, term, decision.wait)
		if ctx.Err() != nil {
			return retrier.giveUp()
		}
	}
}

// attempt sends a call to the leader known now, and returns that leader's term.
func (c *leaderCaller) attempt(ctx context.Context, call leaderCall, most time.Duration, reply any) (term uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ctx, leader, end, known := c.feed.begin(ctx, call.group)
	if !known {
		return 0, rpcerror.WrapNotExecuted(errNoLeader, 0)
	}
	defer end()
	return leader.Term, c.caller.Call(ctx, leader.Address, call.route, call.request, reply)
}
