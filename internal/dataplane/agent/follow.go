package agent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// pollWait is how long a core node may hold a call without news. Together with answerSlack it stays below
	// contactLimit, so that the failure of one core node does not end contact.
	pollWait = 700 * time.Millisecond
	// answerSlack is how much later than asked an answer may come.
	answerSlack = 600 * time.Millisecond
	// returnLimit bounds the look at a preferred core node while another one is followed, which waits meanwhile.
	returnLimit = 400 * time.Millisecond
	// minPause and maxPause bound the pause before a core node is asked that has failed lately, where all have. The
	// upper bound is shared by the candidates, so that each is asked about once in that time.
	minPause = 50 * time.Millisecond
	maxPause = time.Second
)

var (
	errNotCurrent = errors.New("the core mixer is not in contact with a majority")
	errLate       = errors.New("the answer came too late")
)

// follower asks core nodes for news, one at a time. It belongs to one goroutine.
type follower struct {
	agent    *Agent
	cores    *cores
	followed string // the core node that last answered; "" if none has, or it failed since
	pause    time.Duration
}

// follow asks core nodes for news until ctx ends.
func (a *Agent) follow(ctx context.Context) {
	follower := &follower{agent: a, cores: newCores(), pause: minPause}
	for ctx.Err() == nil {
		follower.step(ctx)
	}
}

// step makes one call.
func (f *follower) step(ctx context.Context) {
	candidates := f.agent.candidates()
	core, free := f.cores.choose(candidates, time.Now())
	if !free {
		sleep(ctx, f.pause)
		f.pause = max(minPause, min(2*f.pause, maxPause/time.Duration(max(1, len(candidates)))))
	}
	if core == "" || ctx.Err() != nil {
		return
	}
	if core == f.followed {
		f.hold(ctx, core)
	} else {
		f.probe(ctx, core)
	}
}

// hold lets the followed core node hold the call until it has news.
func (f *follower) hold(ctx context.Context, core string) {
	progress, err := f.agent.poll(ctx, core, pollWait, pollWait+answerSlack)
	if err != nil {
		f.followed = ""
		f.fail(ctx, core, err)
		return
	}
	f.cores.worked(core)
	f.pause = minPause
	if !progress {
		sleep(ctx, minPause)
	}
}

// probe asks another core node for an answer at once, and follows it if that comes.
func (f *follower) probe(ctx context.Context, core string) {
	limit := answerSlack
	if f.followed != "" {
		limit = returnLimit
	}
	if _, err := f.agent.poll(ctx, core, 0, limit); err != nil {
		f.fail(ctx, core, err)
		return
	}
	f.followed = core
}

func (f *follower) fail(ctx context.Context, core string, err error) {
	if ctx.Err() != nil {
		return
	}
	f.cores.failed(core, time.Now())
	f.agent.config.Logger.Debug("core mixer passed over", zap.String("core", core), zap.Error(err))
}

// poll makes one call for news, which the core node may hold for wait and must answer within limit, and takes over what
// it brings. A call is without progress if it told of news that were known already, which may come again at once.
func (a *Agent) poll(ctx context.Context, core string, wait, limit time.Duration) (progress bool, err error) {
	began := time.Now()
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ask := feed.WatchRequest{
		Known:    a.claimed(),
		WaitMS:   wait.Milliseconds(),
		Agent:    a.config.Address,
		Suspects: a.peers.suspects(),
		MaxBytes: a.download.room(),
	}
	reply, err := feed.WatchCall.Call(bounded, a.config.Caller, core, ask)
	if err != nil {
		return false, err
	}
	now := time.Now()
	late := now.Sub(began) > limit // this process stood still, and the answer is old
	reply.Current = reply.Current && !late
	progress, err = a.take(reply, core)
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

// take merges a core node's answer. Configurations and leaders hold whoever tells of them; the lists of members count
// only if they are current.
func (a *Agent) take(reply feed.WatchReply, core string) (changed bool, err error) {
	if reply.Snapshot == nil {
		return false, nil
	}
	offered, err := a.takeOffer(reply.Snapshot, core)
	if err != nil {
		return false, err
	}
	if reply.Current {
		return a.board.MergeWithMembers(reply.Snapshot) || offered, nil
	}
	return a.board.Merge(reply.Snapshot) || offered, nil
}

// confirm records that a core node in contact answered. While a newer configuration is on its way, contact is as old as
// the news of it: until then, what is in force here was the newest.
func (a *Agent) confirm(now time.Time) {
	a.contact.confirm(a.download.currentUntil(now))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
