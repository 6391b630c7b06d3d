package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

const (
	// exchangeInterval is the pause between exchanges with other agents.
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout bounds one call.
	exchangeTimeout = 450 * time.Millisecond
	// oldMembers is the age from which lists of members are taken over from other agents.
	oldMembers = 3 * time.Second
	// unknownAge stands for members that no core mixer has confirmed yet.
	unknownAge = 24 * time.Hour
)

// exchangeRegularly exchanges with one other agent after the other until ctx ends.
func (a *Agent) exchangeRegularly(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		a.peers.setFront(a.board.Snapshot().Front)
		if peer := a.peers.choose(); peer != "" {
			err := a.exchange(ctx, peer)
			if ctx.Err() != nil {
				return
			}
			a.peers.note(peer, err == nil)
			if err != nil {
				a.config.Logger.Debug("no exchange", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// exchange asks a peer for what this agent lacks, and then tells it what it lacks itself.
func (a *Agent) exchange(ctx context.Context, peer string) error {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := feed.ExchangeCall.Call(bounded, a.config.Caller, peer, feed.Exchange{Known: a.digest()})
	if err != nil {
		return err
	}
	a.takeFromPeer(reply)
	news := a.newsFor(reply.Known)
	if news == nil {
		return nil
	}
	_, err = feed.ExchangeCall.Call(bounded, a.config.Caller, peer, feed.Exchange{Known: a.digest(), Snapshot: news})
	return err
}

func (a *Agent) handleExchange(_ context.Context, ask feed.Exchange) (feed.Exchange, error) {
	a.takeFromPeer(ask)
	return feed.Exchange{Known: a.digest(), Snapshot: a.newsFor(ask.Known)}, nil
}

// digest names what this agent knows, with the age of its members.
func (a *Agent) digest() feed.Digest {
	digest := a.board.Digest()
	digest.MembersAgeMS = a.membersAge(time.Now()).Milliseconds()
	return digest
}

func (a *Agent) membersAge(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.membersConfirmed.IsZero() {
		return unknownAge
	}
	return now.Sub(a.membersConfirmed)
}

// newsFor is what a peer lacks, or nil. It gets the members only if its own are old.
func (a *Agent) newsFor(known feed.Digest) *feed.Snapshot {
	theirs := time.Duration(known.MembersAgeMS) * time.Millisecond
	if theirs > oldMembers && a.membersAge(time.Now()) < theirs {
		news, _ := a.board.Since(known)
		return news
	}
	return a.board.Newer(known)
}

// takeFromPeer merges what a peer told. Its members are taken over only if they are newer and the own ones are old.
func (a *Agent) takeFromPeer(told feed.Exchange) {
	if told.Snapshot == nil {
		return
	}
	now := time.Now()
	theirs := max(0, time.Duration(told.Known.MembersAgeMS)*time.Millisecond)
	mine := a.membersAge(now)
	if mine <= oldMembers || theirs >= mine || len(told.Snapshot.Core) == 0 {
		a.board.Merge(told.Snapshot)
		return
	}
	a.board.MergeWithMembers(told.Snapshot)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now.Add(-theirs)
}
