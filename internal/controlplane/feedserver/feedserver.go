// Package feedserver is the core nodes' side of the feed (package feed). It publishes the state of its Sources to the agents,
// which wait for changes by a call, and tracks which agents there are: those that have called any core node lately.
package feedserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/wakeup"
)

const (
	// maxWait bounds how long a watch waits for a change.
	maxWait = 2 * time.Second
	// batchDelay is for how long changes in quick succession are gathered before they are published.
	batchDelay = 20 * time.Millisecond
	// agentBatchDelay is the same for changes of the agents, which are not urgent.
	agentBatchDelay = 500 * time.Millisecond
	// expiryInterval is the interval between checks for agents that have not called for contactTimeout.
	expiryInterval = time.Second
	// exchangeInterval is the interval between exchanges of agents with another core node.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one such exchange.
	exchangeTimeout = 800 * time.Millisecond
)

// Sources are where the published state comes from. All functions must return quickly.
type Sources struct {
	// Configuration returns the newest configuration that a majority has; version 0 before the first.
	Configuration func() (version uint64, body []byte)
	// Leaders returns the leaders by group.
	Leaders func() map[string]feed.Leader
	// Core returns the internal addresses of the core nodes.
	Core func() []string
	// InContact tells whether this core node is in contact with a majority that has lately confirmed its state.
	InContact func() bool
	// Changed holds one function per source of changes. Each returns a channel that is closed at the source's next change.
	Changed []func() <-chan struct{}
}

// Options are what a Server needs.
type Options struct {
	Sources Sources
	// Caller reaches the other core nodes.
	Caller transport.Caller
	// Address is this core node's internal address, host:port.
	Address string
	Logger  *zap.Logger
}

// Server serves the feed. Its methods may be called from any goroutine.
type Server struct {
	options       Options
	snapshots     *feed.SnapshotStore
	agents        *agentSet
	changed       wakeup.Signal // a source may have changed
	agentsChanged wakeup.Signal // agents came or went
}

// New makes a Server. It publishes nothing until Run is called.
func New(options Options) *Server {
	return &Server{
		options:       options,
		snapshots:     feed.NewSnapshotStore(),
		agents:        newAgentSet(),
		changed:       wakeup.New(),
		agentsChanged: wakeup.New(),
	}
}

// Notify makes the server publish its sources soon. It never blocks.
func (s *Server) Notify() { s.changed.Notify() }

// Agents lists the internal addresses of the agents that have called a core node lately, sorted.
func (s *Server) Agents() []string { return s.agents.active(time.Now()) }

// Mount serves the calls of agents and of other core nodes.
func (s *Server) Mount(mux *transport.Mux) {
	transport.Handle(mux, feed.WatchCall, s.watch)
	transport.Handle(mux, feed.ChunksCall, s.chunks)
	transport.Handle(mux, feed.AgentContactsCall, s.exchangeContacts)
}

func (s *Server) watch(ctx context.Context, request feed.WatchRequest) (feed.WatchReply, error) {
	s.recordWatch(request)
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxWait)
	if !s.options.Sources.InContact() {
		wait = 0
	}
	update := s.snapshots.Wait(ctx, request.Known, wait)
	current := s.options.Sources.InContact()
	if current && s.isStale() {
		s.publish()
		update, _ = s.snapshots.UpdateSince(request.Known)
	}
	return feed.WatchReply{Current: current, Changed: update != nil, Snapshot: s.snapshots.AsOffer(update, request.Known, request.MaxBytes)}, nil
}

func (s *Server) chunks(_ context.Context, request feed.ChunksRequest) (feed.ChunksReply, error) {
	return s.snapshots.Chunks(request), nil
}

// isStale tells whether the newest configuration known here has not been published yet. A node that regains contact is current
// from the moment at which it learns what it has missed, and must not reply as current without it.
func (s *Server) isStale() bool {
	version, _ := s.options.Sources.Configuration()
	return version > s.snapshots.Digest().ConfigurationVersion
}

// recordWatch notes that an agent has called, and whom it suspects.
func (s *Server) recordWatch(request feed.WatchRequest) {
	now := time.Now()
	changed := request.Agent != "" && s.agents.recordContact(request.Agent, now)
	for _, address := range request.Suspects {
		if s.agents.reportSuspect(address, now) {
			s.options.Logger.Info("agent removed from the feed", zap.String("agent", address), zap.String("reporter", request.Agent))
			changed = true
		}
	}
	if changed {
		s.agentsChanged.Notify()
	}
}

func (s *Server) exchangeContacts(_ context.Context, contacts feed.AgentContacts) (feed.AgentContacts, error) {
	now := time.Now()
	reply := s.agents.contacts(now)
	s.mergeContacts(contacts, now)
	return reply, nil
}

func (s *Server) mergeContacts(contacts feed.AgentContacts, now time.Time) {
	if s.agents.merge(contacts, now) {
		s.agentsChanged.Notify()
	}
}
