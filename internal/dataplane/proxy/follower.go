package proxy

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	watchWait     = time.Second            // an agent without updates answers after that
	watchSlack    = time.Second            // more time for its answer
	feedStaleness = 4 * time.Second        // without an answer the feed is not current any more
	firstRetry    = 100 * time.Millisecond // after a failed call of the agent; doubles
	longestRetry  = 800 * time.Millisecond
	idleAnswer    = 200 * time.Millisecond // pause after an answer that claims updates but has none
)

// errNewerLeader is the cause of ending an attempt at a leader that has been replaced.
var errNewerLeader = errors.New("the group has a newer leader")

// view is one state of the feed as the proxy uses it. It does not change.
type view struct {
	version uint64 // of the configuration; 0 before the first
	router  Router // nil before the first configuration
	leaders map[string]feed.Leader
	members uint64 // checksum of the nodes' addresses, which the proxy itself does not use
	changed chan struct{}
}

// groupsBut lists all groups but one: those of the services in force, and those that have a leader.
func (v *view) groupsBut(own string) []string {
	groups := make(map[string]struct{}, len(v.leaders))
	for group := range v.leaders {
		groups[group] = struct{}{}
	}
	if v.router != nil {
		for _, service := range v.router.Services() {
			groups[feed.GroupOf(service)] = struct{}{}
		}
	}
	delete(groups, own)
	return slices.Collect(maps.Keys(groups))
}

// follower keeps the newest view by following the agent on the same machine.
type follower struct {
	agent    string // address
	caller   transport.Caller
	build    BuildRouter
	log      *zap.Logger
	now      func() time.Time
	onLimits func(Limits)

	unreadable uint64 // the newest version of the configuration that could not be read

	mutex    sync.Mutex
	view     *view
	current  bool                        // by the agent's newest answer
	received time.Time                   // the agent was asked then for the newest answer: this process may have been paused since
	attempts map[*leaderAttempt]struct{} // under way
}

// leaderAttempt is one attempt at the leader of a group, to be ended when a newer leader is known.
type leaderAttempt struct {
	group  string
	leader feed.Leader
	cancel context.CancelCauseFunc
}

func newFollower(agent string, caller transport.Caller, build BuildRouter, log *zap.Logger) *follower {
	return &follower{
		agent:    agent,
		caller:   caller,
		build:    build,
		log:      log,
		now:      time.Now,
		onLimits: func(Limits) {},
		view:     &view{changed: make(chan struct{})},
		attempts: make(map[*leaderAttempt]struct{}),
	}
}

// run follows the agent until the context ends.
func (f *follower) run(ctx context.Context) {
	retry := firstRetry
	for ctx.Err() == nil {
		progress, err := f.poll(ctx)
		switch {
		case err != nil:
			f.log.Debug("feed not read", zap.Error(err))
			timer.Sleep(ctx, retry)
			retry = min(2*retry, longestRetry)
		case !progress:
			timer.Sleep(ctx, idleAnswer)
		default:
			retry = firstRetry
		}
	}
}

// poll asks the agent once. Progress is false when it claimed updates that the proxy has already.
func (f *follower) poll(ctx context.Context) (progress bool, err error) {
	began := f.now()
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	watch := feed.WatchRequest{Known: f.digest(), WaitMS: watchWait.Milliseconds(), Current: !f.stale()}
	reply, err := feed.LocalCall.Call(ctx, f.caller, f.agent, watch)
	if err != nil {
		return false, fmt.Errorf("ask the agent: %w", err)
	}
	return f.apply(reply, began), nil
}

func (f *follower) digest() feed.Digest {
	view := f.newest()
	leaderTerms := make(map[string]uint64, len(view.leaders))
	for group, leader := range view.leaders {
		leaderTerms[group] = leader.Term
	}
	return feed.Digest{ConfigurationVersion: view.version, LeaderTerms: leaderTerms, MembersSum: view.members}
}

// newest is the newest view.
func (f *follower) newest() *view {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

// ready tells whether there is a configuration and the feed is current.
func (f *follower) ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.router != nil && f.isCurrent()
}

// isCurrent is called with the mutex held.
func (f *follower) isCurrent() bool { return f.current && f.now().Sub(f.received) < feedStaleness }

// stale tells whether the feed may lack updates.
func (f *follower) stale() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isCurrent()
}

// begin starts an attempt at the leader of a group. The context ends with errNewerLeader once a newer leader is known.
// The caller calls end when the attempt is over. Without a leader known, ok is false.
func (f *follower) begin(ctx context.Context, group string) (bounded context.Context, leader feed.Leader, end func(), ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	leader, ok = f.view.leaders[group]
	if !ok {
		return ctx, leader, func() {}, false
	}
	bounded, cancel := context.WithCancelCause(ctx)
	attempt := &leaderAttempt{group: group, leader: leader, cancel: cancel}
	f.attempts[attempt] = struct{}{}
	return bounded, leader, func() { f.end(attempt) }, true
}

func (f *follower) end(attempt *leaderAttempt) {
	f.mutex.Lock()
	delete(f.attempts, attempt)
	f.mutex.Unlock()
	attempt.cancel(nil)
}

// awaitNewer waits until the group's leader is of a later term than epoch, at most the given time.
func (f *follower) awaitNewer(ctx context.Context, group string, term uint64, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		view := f.newest()
		if view.leaders[group].Term > term {
			return
		}
		select {
		case <-view.changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
