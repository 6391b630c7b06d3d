package feedserver

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
)

// Run publishes changes of the sources until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	for _, source := range s.options.Sources.Changed {
		running.Go(func() { s.follow(ctx, source) })
	}
	running.Go(func() { s.exchangePeriodically(ctx) })
	s.publishChanges(ctx)
	return nil
}

// follow notifies of the changes of one source. It gets the channel before the source is read, so that none is missed.
func (s *Server) follow(ctx context.Context, source func() <-chan struct{}) {
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

// publishChanges publishes at the start, some time after each change, and at intervals, as agents expire without a signal.
func (s *Server) publishChanges(ctx context.Context) {
	s.publish()
	timer := time.NewTimer(expiryInterval)
	defer timer.Stop()
	due := time.Now().Add(expiryInterval)
	scheduleBy := func(delay time.Duration) {
		if at := time.Now().Add(delay); at.Before(due) {
			due = at
			timer.Reset(delay)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			scheduleBy(batchDelay)
		case <-s.agentsChanged:
			scheduleBy(agentBatchDelay)
		case <-timer.C:
			s.publish()
			due = time.Now().Add(expiryInterval)
			timer.Reset(expiryInterval)
		}
	}
}

// publish stores the present state of the sources, which wakes those who wait if it has changed.
func (s *Server) publish() {
	sources := s.options.Sources
	version, body := sources.Configuration()
	s.snapshots.MergeWithMembers(&feed.Snapshot{
		ConfigurationVersion: version,
		Configuration:        body,
		Leaders:              sources.Leaders(),
		Core:                 slices.Sorted(slices.Values(sources.Core())), // the order must not change the checksum
		Agents:               s.agents.active(time.Now()),
	})
}

// exchangePeriodically exchanges contacts of agents with one other core node after the other.
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

func (s *Server) peers() []string {
	var peers []string
	for _, address := range s.options.Sources.Core() {
		if address != s.options.Address {
			peers = append(peers, address)
		}
	}
	return peers
}

func (s *Server) exchangeWith(ctx context.Context, core string) {
	bounded, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := feed.AgentContactsCall.Call(bounded, s.options.Caller, core, s.agents.contacts(time.Now()))
	if err != nil {
		s.options.Logger.Debug("agent list not shared", zap.String("core", core), zap.Error(err))
		return
	}
	s.mergeContacts(reply, time.Now())
}
