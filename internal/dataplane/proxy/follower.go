package proxy

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	pollWait        = time.Second            // an agent without updates answers a poll after this time
	pollMargin      = time.Second            // additional time for the answer to a poll
	maxFeedAge      = 4 * time.Second        // the feed is stale if the latest answered poll was sent this long ago
	minRetryDelay   = 100 * time.Millisecond // delay after the first failed poll; doubles up to maxRetryDelay
	maxRetryDelay   = 800 * time.Millisecond
	noProgressDelay = 200 * time.Millisecond // delay after an answer that claims updates but contains none
)

// errNewerLeader is the cancellation cause of an attempt whose leader has been replaced.
var errNewerLeader = errors.New("the group has a newer leader")

// view is an immutable state of the feed, as the proxy uses it.
type view struct {
	version         uint64 // of the configuration; 0 before the first
	router          Router // nil before the first configuration
	leaders         map[string]feed.Leader
	membersChecksum uint64        // checksum of the nodes' addresses; the proxy uses it only to poll the agent
	changed         chan struct{} // closed when a newer view replaces this one
}

// feedFollower keeps the view up to date by polling the agent on the same machine.
type feedFollower struct {
	agent       string // address, host:port
	caller      transport.Caller
	buildRouter BuildRouter
	log         *zap.Logger
	now         func() time.Time
	onLimits    func(Limits)

	unreadableVersion uint64 // latest version of the configuration that could not be parsed; 0 if none

	mutex    sync.Mutex
	view     *view
	current  bool                        // whether the agent's latest answer says that the feed is current
	polledAt time.Time                   // when the latest answered poll was sent; the process may have been paused before it handled the answer
	attempts map[*leaderAttempt]struct{} // in progress
}

// leaderAttempt is a call to the leader of a group. It is canceled when a newer leader becomes known.
type leaderAttempt struct {
	group  string
	leader feed.Leader
	cancel context.CancelCauseFunc
}

func newFeedFollower(agent string, caller transport.Caller, build BuildRouter, log *zap.Logger) *feedFollower {
	return &feedFollower{
		agent:       agent,
		caller:      caller,
		buildRouter: build,
		log:         log,
		now:         time.Now,
		onLimits:    func(Limits) {},
		view:        &view{changed: make(chan struct{})},
		attempts:    make(map[*leaderAttempt]struct{}),
	}
}

// run polls the agent until the context ends.
func (f *feedFollower) run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		progress, err := f.poll(ctx)
		switch {
		case err != nil:
			f.log.Debug("feed not read", zap.Error(err))
			timer.Sleep(ctx, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		case !progress:
			timer.Sleep(ctx, noProgressDelay)
		default:
			retryDelay = minRetryDelay
		}
	}
}

// poll asks the agent once for updates. Progress is false if the agent claimed updates but sent nothing new.
func (f *feedFollower) poll(ctx context.Context) (progress bool, err error) {
	polledAt := f.now()
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollMargin)
	defer cancel()
	request := feed.WatchRequest{Known: f.digest(), WaitMS: pollWait.Milliseconds(), Current: !f.stale()}
	reply, err := feed.LocalCall.Call(ctx, f.caller, f.agent, request)
	if err != nil {
		return false, fmt.Errorf("ask the agent: %w", err)
	}
	return f.apply(reply, polledAt), nil
}

// digest returns what the proxy knows of the feed. The agent answers with what differs from it.
func (f *feedFollower) digest() feed.Digest {
	view := f.currentView()
	leaderTerms := make(map[string]uint64, len(view.leaders))
	for group, leader := range view.leaders {
		leaderTerms[group] = leader.Term
	}
	return feed.Digest{ConfigurationVersion: view.version, LeaderTerms: leaderTerms, MembersSum: view.membersChecksum}
}

// currentView returns the latest view.
func (f *feedFollower) currentView() *view {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view
}

// ready reports whether there is a configuration and the feed is current.
func (f *feedFollower) ready() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view.router != nil && f.isCurrent()
}

// isCurrent reports whether the feed is current. The mutex must be held.
func (f *feedFollower) isCurrent() bool { return f.current && f.now().Sub(f.polledAt) < maxFeedAge }

// stale reports whether updates may be missing from the view.
func (f *feedFollower) stale() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isCurrent()
}

// confirms reports whether a view is the current one and no updates may be missing from it. It must be asked after the answer that rests
// on the view was found.
func (f *feedFollower) confirms(v *view) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.view == v && f.isCurrent()
}

// startAttempt registers an attempt to call the leader of a group. The returned context is canceled with the cause
// errNewerLeader when a newer leader becomes known. The caller must call end after the attempt. If no leader is known,
// ok is false.
func (f *feedFollower) startAttempt(ctx context.Context, group string) (attemptCtx context.Context, leader feed.Leader, end func(), ok bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	leader, ok = f.view.leaders[group]
	if !ok {
		return ctx, leader, func() {}, false
	}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	attempt := &leaderAttempt{group: group, leader: leader, cancel: cancel}
	f.attempts[attempt] = struct{}{}
	return attemptCtx, leader, func() { f.endAttempt(attempt) }, true
}

// endAttempt removes an attempt and releases its context.
func (f *feedFollower) endAttempt(attempt *leaderAttempt) {
	f.mutex.Lock()
	delete(f.attempts, attempt)
	f.mutex.Unlock()
	attempt.cancel(nil)
}

// awaitNewerLeader waits until the group's leader has a later term than the given one, or the configuration is newer than that of a view.
// It returns after maxWait, or when the context ends, at the latest.
func (f *feedFollower) awaitNewerLeader(ctx context.Context, attempted *view, group string, term uint64, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		view := f.currentView()
		if view.leaders[group].Term > term || view.version > attempted.version {
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
