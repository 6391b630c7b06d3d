package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	// pollWait is how long a coordinator may hold a call without updates. Together with answerSlack it stays below
	// contactLimit, so that the failure of one coordinator does not end contact.
	pollWait = 700 * time.Millisecond
	// answerSlack is how much later than asked an answer may come.
	answerSlack = 600 * time.Millisecond
	// returnLimit bounds the call to a preferred coordinator while another one is followed, which waits meanwhile.
	returnLimit = 400 * time.Millisecond
	// minBackoff and maxBackoff bound the pause before a coordinator is asked that has failed lately, where all have. The
	// upper bound is shared by the candidates, so that each is asked about once in that time.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

var (
	errNotCurrent = errors.New("the core mixer is not in contact with a majority")
	errLate       = errors.New("the answer came too late")
)

// follower asks coordinators for updates, one at a time. It belongs to one goroutine.
type follower struct {
	agent        *Agent
	coordinators *coordinators
	followed     string // the coordinator that last answered; "" if none has, or it failed since
	backoff      time.Duration
}

// follow asks coordinators for updates until ctx ends.
func (a *Agent) follow(ctx context.Context) {
	follower := &follower{agent: a, coordinators: newCoordinators(), backoff: minBackoff}
	for ctx.Err() == nil {
		follower.step(ctx)
	}
}

// step makes one call.
func (f *follower) step(ctx context.Context) {
	candidates := f.agent.candidates()
	coordinator, free := f.coordinators.choose(candidates, time.Now())
	if !free {
		timer.Sleep(ctx, f.backoff)
		f.backoff = max(minBackoff, min(2*f.backoff, maxBackoff/time.Duration(max(1, len(candidates)))))
	}
	if coordinator == "" || ctx.Err() != nil {
		return
	}
	if coordinator == f.followed {
		f.longPoll(ctx, coordinator)
	} else {
		f.probe(ctx, coordinator)
	}
}

// longPoll lets the followed coordinator hold the call until it has updates.
func (f *follower) longPoll(ctx context.Context, coordinator string) {
	progress, err := f.agent.poll(ctx, coordinator, pollWait, pollWait+answerSlack)
	if err != nil {
		f.followed = ""
		f.fail(ctx, coordinator, err)
		return
	}
	f.coordinators.worked(coordinator)
	f.backoff = minBackoff
	if !progress {
		timer.Sleep(ctx, minBackoff)
	}
}

// probe asks another coordinator for an answer at once, and follows it if that comes.
func (f *follower) probe(ctx context.Context, coordinator string) {
	limit := answerSlack
	if f.followed != "" {
		limit = returnLimit
	}
	if _, err := f.agent.poll(ctx, coordinator, 0, limit); err != nil {
		f.fail(ctx, coordinator, err)
		return
	}
	f.followed = coordinator
}

func (f *follower) fail(ctx context.Context, coordinator string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.coordinators.failed(coordinator, time.Now())
	f.agent.config.Logger.Debug("coordinator skipped", zap.String("coordinator", coordinator), zap.Error(err))
}

// poll makes one call for updates, which the coordinator may hold for wait and must answer within limit, and takes over what
// it brings. A call is without progress if it brought updates that were known already, which may come again at once.
func (a *Agent) poll(ctx context.Context, coordinator string, wait, limit time.Duration) (progress bool, err error) {
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request := feed.WatchRequest{
		Known:    a.knownOrInProgress(),
		WaitMS:   wait.Milliseconds(),
		Agent:    a.config.Address,
		Suspects: a.peers.suspects(),
		MaxBytes: a.download.callBytes(),
	}
	reply, err := feed.WatchCall.Call(bounded, a.config.Caller, coordinator, request)
	if err != nil {
		return false, err
	}
	now := time.Now()
	late := now.Sub(began) > limit // this process was paused, and the answer is old
	reply.Current = reply.Current && !late
	progress, err = a.take(reply, coordinator)
	switch {
	case err != nil:
		return progress, err
	case late:
		return progress, errLate
	case !reply.Current:
		return progress, errNotCurrent
	}
	a.confirm(now)
	return progress || !reply.Changed, nil
}

// take merges a coordinator's answer. Configurations and leaders hold whoever sends them; the lists of members count
// only if they are current.
func (a *Agent) take(reply feed.WatchReply, coordinator string) (changed bool, err error) {
	if reply.Snapshot == nil {
		return false, nil
	}
	offered, err := a.takeOffer(reply.Snapshot, coordinator)
	if err != nil {
		return false, err
	}
	if reply.Current {
		return a.snapshots.MergeWithMembers(reply.Snapshot) || offered, nil
	}
	return a.snapshots.Merge(reply.Snapshot) || offered, nil
}

// confirm records that a coordinator in contact answered. While a newer configuration is on its way, contact is as old as
// the time at which it was announced: until then, what is in force here was the newest.
func (a *Agent) confirm(now time.Time) {
	a.contact.confirm(a.download.currentUntil(now))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now
}
