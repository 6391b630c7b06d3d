package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	// exchangeInterval is the pause between exchanges with other agents without contact to a coordinator, or while it is
	// open whether a peer is gone.
	exchangeInterval = 500 * time.Millisecond
	// calmExchangeInterval is the pause otherwise. An agent that is partitioned off makes its own requests, so that it waits for nobody.
	calmExchangeInterval = 1500 * time.Millisecond
	// exchangeTimeout bounds one call.
	exchangeTimeout = 450 * time.Millisecond
	// oldMembers is the age from which lists of members are taken over from other agents.
	oldMembers = 3 * time.Second
	// unknownAge stands for members that no coordinator has confirmed yet.
	unknownAge = 24 * time.Hour
)

// exchangeRegularly exchanges with one other agent after the other until ctx ends.
func (a *Agent) exchangeRegularly(ctx context.Context) {
	for {
		timer.Sleep(ctx, a.exchangeDelay())
		if ctx.Err() != nil {
			return
		}
		a.peers.setFront(a.snapshots.Snapshot().Agents)
		if peer := a.peers.choose(); peer != "" {
			err := a.exchange(ctx, peer)
			if ctx.Err() != nil {
				return
			}
			a.peers.record(peer, err == nil)
			if err != nil {
				a.config.Logger.Debug("agent exchange failed", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// exchangeDelay is the time until the next exchange.
func (a *Agent) exchangeDelay() time.Duration {
	if a.InContact() && !a.peers.suspicious() {
		return calmExchangeInterval
	}
	return exchangeInterval
}

// exchange requests from a peer what this agent lacks, and then sends the peer what that one lacks.
func (a *Agent) exchange(ctx context.Context, peer string) error {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := feed.ExchangeCall.Call(bounded, a.config.Caller, peer, a.exchangeMessage(nil))
	if err != nil {
		return err
	}
	if err := a.takeFromPeer(reply, peer); err != nil {
		return err
	}
	update := a.updateFor(reply)
	if update == nil {
		return nil
	}
	_, err = feed.ExchangeCall.Call(bounded, a.config.Caller, peer, a.exchangeMessage(update))
	return err
}

func (a *Agent) handleExchange(_ context.Context, request feed.Exchange) (feed.Exchange, error) {
	if err := a.takeFromPeer(request, request.Agent); err != nil {
		return feed.Exchange{}, err
	}
	return a.exchangeMessage(a.updateFor(request)), nil
}

// exchangeMessage is the message that this agent sends a peer, as the receiver gets it; update is nil where the peer lacks nothing.
func (a *Agent) exchangeMessage(update *feed.Snapshot) feed.Exchange {
	return feed.Exchange{Known: a.digest(), Snapshot: update, Agent: a.config.Address, MaxBytes: a.download.callBytes()}
}

// digest names what this agent knows or is fetching, with the age of its members.
func (a *Agent) digest() feed.Digest {
	digest := a.knownOrInProgress()
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

// updateFor is what a peer lacks, or nil. It gets the members only if its own are old.
func (a *Agent) updateFor(peer feed.Exchange) *feed.Snapshot {
	known := peer.Known
	theirs := time.Duration(known.MembersAgeMS) * time.Millisecond
	if theirs > oldMembers && a.membersAge(time.Now()) < theirs {
		update, _ := a.snapshots.UpdateSince(known)
		return a.snapshots.AsOffer(update, known, peer.MaxBytes)
	}
	return a.snapshots.AsOffer(a.snapshots.NewerThan(known), known, peer.MaxBytes)
}

// takeFromPeer merges what a peer sent. Its members are taken over only if they are newer and the own ones are old.
func (a *Agent) takeFromPeer(received feed.Exchange, peer string) error {
	if received.Snapshot == nil {
		return nil
	}
	if _, err := a.takeOffer(received.Snapshot, peer); err != nil {
		return err
	}
	now := time.Now()
	theirs := max(0, time.Duration(received.Known.MembersAgeMS)*time.Millisecond)
	mine := a.membersAge(now)
	if mine <= oldMembers || theirs >= mine || len(received.Snapshot.Core) == 0 {
		a.snapshots.Merge(received.Snapshot)
		return nil
	}
	a.snapshots.MergeWithMembers(received.Snapshot)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now.Add(-theirs)
	return nil
}
