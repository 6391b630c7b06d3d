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
	// pollWait is how long a coordinator may hold a call without updates. The sum of pollWait and replyMargin is below
	// contactTimeout, so that the failure of one coordinator does not end contact.
	pollWait = 700 * time.Millisecond
	// replyMargin is the time allowed for a reply in addition to the requested wait.
	replyMargin = 600 * time.Millisecond
	// preferredProbeTimeout limits the call to a preferred coordinator while another one is followed. The followed coordinator is
	// not polled during this call.
	preferredProbeTimeout = 400 * time.Millisecond
	// minBackoff is the shortest pause before a call when all coordinators have failed recently. It is also the pause after a
	// poll without progress and after a failed call for chunks.
	minBackoff = 50 * time.Millisecond
	// maxBackoff divided by the number of candidates is the longest pause before a call when all coordinators have failed
	// recently. As a result, each coordinator is called about once per maxBackoff.
	maxBackoff = time.Second
)

var (
	errNotCurrent   = errors.New("the coordinator is not in contact with a majority")
	errReplyTooLate = errors.New("the reply arrived too late")
)

// follower polls coordinators for updates, one at a time. It is not safe for concurrent use.
type follower struct {
	agent        *Agent
	coordinators *coordinatorSelector
	followed     string // the coordinator that last replied; "" if there is none or it has failed since then
	backoff      time.Duration
}

// follow polls coordinators for updates until ctx ends.
func (a *Agent) follow(ctx context.Context) {
	follower := &follower{agent: a, coordinators: newCoordinatorSelector(), backoff: minBackoff}
	for ctx.Err() == nil {
		follower.pollOnce(ctx)
	}
}

// pollOnce makes at most one call to a coordinator.
func (f *follower) pollOnce(ctx context.Context) {
	candidates := f.agent.candidates()
	coordinator, available := f.coordinators.choose(candidates, time.Now())
	if !available {
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

// longPoll calls the followed coordinator, which holds the call until it has updates.
func (f *follower) longPoll(ctx context.Context, coordinator string) {
	progress, err := f.agent.poll(ctx, coordinator, pollWait, pollWait+replyMargin)
	if err != nil {
		f.followed = ""
		f.recordFailure(ctx, coordinator, err)
		return
	}
	f.coordinators.recordSuccess(coordinator)
	f.backoff = minBackoff
	if !progress {
		timer.Sleep(ctx, minBackoff)
	}
}

// probe requests an immediate reply from a coordinator that is not followed yet, and follows it if the call succeeds.
func (f *follower) probe(ctx context.Context, coordinator string) {
	timeout := replyMargin
	if f.followed != "" {
		timeout = preferredProbeTimeout
	}
	if _, err := f.agent.poll(ctx, coordinator, 0, timeout); err != nil {
		f.recordFailure(ctx, coordinator, err)
		return
	}
	f.followed = coordinator
}

// recordFailure sets a penalty for a coordinator, unless the call failed because ctx ended.
func (f *follower) recordFailure(ctx context.Context, coordinator string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.coordinators.recordFailure(coordinator, time.Now())
	f.agent.config.Logger.Debug("coordinator skipped", zap.String("coordinator", coordinator), zap.Error(err))
}

// poll makes one call for updates and merges the reply. The coordinator may hold the call for wait and must reply within timeout.
// progress is false if the reply contained only updates that were already known. The coordinator may send these again at once, so
// the caller has to pause before the next call.
func (a *Agent) poll(ctx context.Context, coordinator string, wait, timeout time.Duration) (progress bool, err error) {
	start := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := feed.WatchRequest{
		Known:    a.knownOrInProgress(),
		WaitMS:   wait.Milliseconds(),
		Agent:    a.config.Address,
		Suspects: a.peers.suspects(),
		MaxBytes: a.download.callBytes(),
	}
	reply, err := feed.WatchCall.Call(callCtx, a.config.Caller, coordinator, request)
	if err != nil {
		return false, err
	}
	now := time.Now()
	late := now.Sub(start) > timeout // this process was paused, so the reply is old
	reply.Current = reply.Current && !late
	progress, err = a.mergeReply(reply, coordinator)
	switch {
	case err != nil:
		return progress, err
	case late:
		return progress, errReplyTooLate
	case !reply.Current:
		return progress, errNotCurrent
	}
	a.confirm(now)
	return progress || !reply.Changed, nil
}

// mergeReply merges a coordinator's reply and reports whether it contained an update. Configurations and leaders are valid from any
// coordinator. Lists of members are used only if the reply is current.
func (a *Agent) mergeReply(reply feed.WatchReply, coordinator string) (changed bool, err error) {
	if reply.Snapshot == nil {
		return false, nil
	}
	offered, err := a.acceptOffer(reply.Snapshot, coordinator)
	if err != nil {
		return false, err
	}
	if reply.Current {
		return a.snapshots.MergeWithMembers(reply.Snapshot) || offered, nil
	}
	return a.snapshots.Merge(reply.Snapshot) || offered, nil
}

// confirm records a current reply of a coordinator. While a newer configuration is being downloaded, contact lasts only up to the time at
// which that one became known, and only if there was contact then: an agent that was cut off has an older configuration for longer than that.
func (a *Agent) confirm(now time.Time) {
	if since, outdated := a.download.newerKnownSince(); outdated {
		a.contact.extend(since)
	} else {
		a.contact.confirm(now)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now
}
