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
	running.Go(func() { s.shareRegularly(ctx) })
	s.publishChanges(ctx)
	return nil
}

// follow passes on the changes of one source. It fetches the channel before the source is read, so that none is missed.
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

// publishChanges publishes at the start, some time after each change, and at every tick, as agents fall silent without
// a signal.
func (s *Server) publishChanges(ctx context.Context) {
	s.publish()
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	due := time.Now().Add(tickInterval)
	sooner := func(pause time.Duration) {
		if at := time.Now().Add(pause); at.Before(due) {
			due = at
			timer.Reset(pause)
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			sooner(gatherTime)
		case <-s.frontChanged:
			sooner(gatherFrontTime)
		case <-timer.C:
			s.publish()
			due = time.Now().Add(tickInterval)
			timer.Reset(tickInterval)
		}
	}
}

// publish puts the present state of the sources on the board, which wakes those who wait if it differs.
func (s *Server) publish() {
	sources := s.options.Sources
	version, body := sources.Configuration()
	s.board.MergeWithMembers(&feed.Snapshot{
		ConfigurationVersion: version,
		Configuration:        body,
		Leaders:              sources.Leaders(),
		Core:                 slices.Sorted(slices.Values(sources.Core())), // the order must not change the checksum
		Front:                s.front.agents(time.Now()),
	})
}

// shareRegularly exchanges the agents heard with one other core node after the other.
func (s *Server) shareRegularly(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if others := s.others(); len(others) > 0 {
			s.shareWith(ctx, others[turn%len(others)])
		}
	}
}

func (s *Server) others() []string {
	var others []string
	for _, address := range s.options.Sources.Core() {
		if address != s.options.Address {
			others = append(others, address)
		}
	}
	return others
}

func (s *Server) shareWith(ctx context.Context, core string) {
	bounded, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	reply, err := feed.FrontCall.Call(bounded, s.options.Caller, core, s.front.ages(time.Now()))
	if err != nil {
		s.options.Logger.Debug("agents not shared", zap.String("core", core), zap.Error(err))
		return
	}
	s.learn(reply, time.Now())
}
