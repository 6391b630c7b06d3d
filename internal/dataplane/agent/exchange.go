package agent

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/timer"
)

const (
	// urgentExchangeInterval is the pause between exchanges while this agent is not in contact with the control plane, or while it
	// checks whether a peer that failed recently is down.
	urgentExchangeInterval = 500 * time.Millisecond
	// normalExchangeInterval is the pause between exchanges otherwise. It may be longer because a partitioned agent initiates its own
	// exchanges and does not depend on those of its peers.
	normalExchangeInterval = 1500 * time.Millisecond
	// exchangeTimeout limits the duration of one exchange, including both of its calls.
	exchangeTimeout = 450 * time.Millisecond
	// staleMembersAge is the age above which an agent accepts lists of members from other agents.
	staleMembersAge = 3 * time.Second
	// unconfirmedMembersAge is the reported age of members that no coordinator has confirmed yet.
	unconfirmedMembersAge = 24 * time.Hour
)

// exchangePeriodically exchanges state with one peer at a time until ctx ends.
func (a *Agent) exchangePeriodically(ctx context.Context) {
	for {
		timer.Sleep(ctx, a.exchangeDelay())
		if ctx.Err() != nil {
			return
		}
		a.peers.setAgents(a.snapshots.Snapshot().Agents)
		if peer := a.peers.choose(); peer != "" {
			err := a.exchange(ctx, peer)
			if ctx.Err() != nil {
				return
			}
			a.peers.recordResult(peer, err == nil)
			if err != nil {
				a.config.Logger.Debug("agent exchange failed", zap.String("peer", peer), zap.Error(err))
			}
		}
	}
}

// exchangeDelay returns the time until the next exchange.
func (a *Agent) exchangeDelay() time.Duration {
	if a.InContact() && !a.peers.hasUnconfirmedFailures() {
		return normalExchangeInterval
	}
	return urgentExchangeInterval
}

// exchange requests from a peer what this agent lacks, and then sends the peer what the peer lacks.
func (a *Agent) exchange(ctx context.Context, peer string) error {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := feed.ExchangeCall.Call(callCtx, a.config.Caller, peer, a.exchangeMessage(nil))
	if err != nil {
		return err
	}
	if err := a.mergeFromPeer(reply, peer); err != nil {
		return err
	}
	update := a.updateFor(reply)
	if update == nil {
		return nil
	}
	_, err = feed.ExchangeCall.Call(callCtx, a.config.Caller, peer, a.exchangeMessage(update))
	return err
}

// handleExchange merges the request of a peer and replies with what the peer lacks.
func (a *Agent) handleExchange(_ context.Context, request feed.Exchange) (feed.Exchange, error) {
	if err := a.mergeFromPeer(request, request.Agent); err != nil {
		return feed.Exchange{}, err
	}
	return a.exchangeMessage(a.updateFor(request)), nil
}

// exchangeMessage returns the message that this agent sends to a peer. update is nil if the peer lacks nothing or its state is not
// known yet.
func (a *Agent) exchangeMessage(update *feed.Snapshot) feed.Exchange {
	return feed.Exchange{Known: a.digest(), Snapshot: update, Agent: a.config.Address, MaxBytes: a.download.callBytes()}
}

// digest returns the digest of what this agent has or is downloading, with the age of its members.
func (a *Agent) digest() feed.Digest {
	digest := a.knownOrInProgress()
	digest.MembersAgeMS = a.membersAge(time.Now()).Milliseconds()
	return digest
}

// membersAge returns the time since a coordinator confirmed the lists of members.
func (a *Agent) membersAge(now time.Time) time.Duration {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.membersConfirmed.IsZero() {
		return unconfirmedMembersAge
	}
	return now.Sub(a.membersConfirmed)
}

// updateFor returns what a peer lacks, or nil if it lacks nothing. It includes the members only if the peer's are stale and older
// than those of this agent.
func (a *Agent) updateFor(peer feed.Exchange) *feed.Snapshot {
	known := peer.Known
	peerAge := time.Duration(known.MembersAgeMS) * time.Millisecond
	if peerAge > staleMembersAge && a.membersAge(time.Now()) < peerAge {
		update, _ := a.snapshots.UpdateSince(known)
		return a.snapshots.AsOffer(update, known, peer.MaxBytes)
	}
	return a.snapshots.AsOffer(a.snapshots.NewerThan(known), known, peer.MaxBytes)
}

// mergeFromPeer merges the update that a peer sent. It replaces the members only if those of this agent are stale and the peer's
// are newer.
func (a *Agent) mergeFromPeer(received feed.Exchange, peer string) error {
	if received.Snapshot == nil {
		return nil
	}
	if _, err := a.acceptOffer(received.Snapshot, peer); err != nil {
		return err
	}
	now := time.Now()
	peerAge := max(0, time.Duration(received.Known.MembersAgeMS)*time.Millisecond)
	ownAge := a.membersAge(now)
	if ownAge <= staleMembersAge || peerAge >= ownAge || len(received.Snapshot.Coordinators) == 0 {
		a.snapshots.Merge(received.Snapshot)
		return nil
	}
	a.snapshots.MergeWithMembers(received.Snapshot)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.membersConfirmed = now.Add(-peerAge)
	return nil
}
