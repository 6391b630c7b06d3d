package feedserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// Run publishes changes of the sources and exchanges agent contacts with other coordinators until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, source := range s.options.Sources.ChangeSignals {
		running.Go(func() { s.followSource(ctx, source) })
	}
	running.Go(func() { s.exchangePeriodically(ctx) })
	s.publishChanges(ctx)
	return nil
}

// followSource calls Notify at the start and after each change of one source. It gets the channel of the next change before the
// source is read, so that no change is missed.
func (s *Server) followSource(ctx context.Context, source func() <-chan struct{}) {
	for {
		changed := source()
		s.Notify()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// publishChanges publishes at the start, after each change with a delay that batches changes, and at least every expiryInterval.
// The interval is necessary because the expiry of an agent sends no notification.
func (s *Server) publishChanges(ctx context.Context) {
	s.publish()
	timer := time.NewTimer(expiryInterval)
	defer timer.Stop()
	nextPublish := time.Now().Add(expiryInterval)
	publishWithin := func(delay time.Duration) {
		if at := time.Now().Add(delay); at.Before(nextPublish) {
			nextPublish = at
			timer.Reset(delay)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			publishWithin(batchDelay)
		case <-s.agentsChanged:
			publishWithin(agentBatchDelay)
		case <-timer.C:
			s.publish()
			nextPublish = time.Now().Add(expiryInterval)
			timer.Reset(expiryInterval)
		}
	}
}

// publish stores the current state of the sources. If the state has changed, this wakes the waiting readers.
func (s *Server) publish() {
	sources := s.options.Sources
	version, body := sources.Configuration()
	s.snapshots.MergeWithMembers(&feed.Snapshot{
		ConfigurationVersion: version,
		Configuration:        body,
		Leaders:              sources.Leaders(),
		Coordinators:         slices.Sorted(slices.Values(sources.Coordinators())), // sorted, so that the checksum is independent of the order
		Agents:               s.agents.active(time.Now()),
	})
}

// exchangePeriodically exchanges agent contacts with the other coordinators in turn, one per exchangeInterval.
func (s *Server) exchangePeriodically(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if peers := s.peers(); len(peers) > 0 {
			s.exchangeWith(ctx, peers[round%len(peers)])
		}
	}
}

// peers returns the addresses of the other coordinators.
func (s *Server) peers() []string {
	var peers []string
	for _, address := range s.options.Sources.Coordinators() {
		if address != s.options.Address {
			peers = append(peers, address)
		}
	}
	return peers
}

func (s *Server) exchangeWith(ctx context.Context, coordinator string) {
	callCtx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := feed.AgentContactsCall.Call(callCtx, s.options.Caller, coordinator, s.agents.contacts(time.Now()))
	if err != nil {
		s.options.Logger.Debug("agent list not shared", zap.String("core", coordinator), zap.Error(err))
		return
	}
	s.mergeContacts(reply, time.Now())
}
