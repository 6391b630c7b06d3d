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

// leaderCall describes a request to the leader of a replication group.
type leaderCall struct {
	kind    operation
	timeout time.Duration // the shorter of the client's and the route's
	// locate says, for a state of the feed, which group the request is for, and what is sent to its leader. Found is false if no queue
	// has the request's path.
	locate func(v *view) (located locatedCall, found bool)
}

// locatedCall is a request with the group that it is for.
type locatedCall struct {
	group   string
	route   transport.IdempotentRoute // idempotent, because an attempt that may have been executed is retried
	request any
}

// leaderCaller sends requests to the leaders of replication groups.
type leaderCaller struct {
	feed   *feedFollower
	caller transport.Caller
	log    *zap.Logger
	now    func() time.Time
}

// run sends a call to the leader and retries it as the retrier decides. Each attempt is located anew, because the queue may have been given
// to another group. A successful response is stored in reply. Time limits count from received, the arrival of the client's request. When
// the context ends, run makes no more attempts.
func (c *leaderCaller) run(ctx context.Context, received time.Time, call leaderCall, reply any) decision {
	retrier := newRetrier(call.kind, call.timeout)
	if first := retrier.begin(c.now().Sub(received)); first.finished {
		return first
	}
	for {
		view := c.feed.currentView()
		located, found := call.locate(view)
		if !found {
			return retrier.noQueue(c.feed.confirms(view))
		}
		term, err := c.attempt(ctx, located, retrier.attemptTimeout(c.now().Sub(received)), reply)
		if err != nil {
			c.log.Debug("attempt failed", zap.String("path", located.route.Path()), zap.String("group", located.group), zap.Error(err))
		}
		decision := retrier.next(classifyAttempt(err), c.now().Sub(received))
		if decision.finished {
			return decision
		}
		c.feed.awaitNewerLeader(ctx, view, located.group, term, decision.wait)
		if ctx.Err() != nil {
			return retrier.fail()
		}
	}
}

// attempt sends a call once, to the leader in the current view. It returns the term of that leader, or 0 if no leader is
// known.
func (c *leaderCaller) attempt(ctx context.Context, call locatedCall, timeout time.Duration, reply any) (term uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, leader, end, known := c.feed.startAttempt(ctx, call.group)
	if !known {
		return 0, rpcerror.WrapNotExecuted(errNoLeader, 0)
	}
	defer end()
	return leader.Term, c.caller.Call(ctx, leader.Address, call.route, call.request, reply)
}
