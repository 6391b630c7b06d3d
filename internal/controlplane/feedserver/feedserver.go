// Package feedserver is the core nodes' side of the feed: it answers the agents' calls for news and remembers which
// agents there are.
package feedserver

import (
	"context"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	// maxWait bounds how long a call for news is held.
	maxWait = 2 * time.Second
	// batchDelay is how long changes in quick succession are gathered before those who wait are told.
	batchDelay = 20 * time.Millisecond
	// agentBatchDelay is the same for agents that come and go, which is not urgent.
	agentBatchDelay = 500 * time.Millisecond
	// expiryInterval is the pause between looks for agents that have fallen silent.
	expiryInterval = time.Second
	// exchangeInterval is the pause between calls that tell another core node of the agents heard here.
	exchangeInterval = time.Second
	// exchangeTimeout bounds one such call.
	exchangeTimeout = 800 * time.Millisecond
)

// Sources are where the server's news come from. All functions must return quickly.
type Sources struct {
	// Configuration returns the newest configuration that a majority holds; version 0 before the first.
	Configuration func() (version uint64, body []byte)
	// Leaders returns the leaders by group.
	Leaders func() map[string]feed.Leader
	// Core returns the internal addresses of the core nodes.
	Core func() []string
	// InContact tells whether this core node is in contact with a majority, which has lately confirmed what it knows.
	InContact func() bool
	// Changed holds one function per source of changes. Each returns a channel that is closed at the source's next change.
	Changed []func() <-chan struct{}
}

// Options are what a Server needs.
type Options struct {
	Sources Sources
	// Caller tells other core nodes which agents were heard.
	Caller transport.Caller
	// Address is this core node's internal address.
	Address string
	Logger  *zap.Logger
}

// Server answers the agents.
type Server struct {
	options       Options
	snapshots     *feed.SnapshotStore
	agents        *agentSet
	changed       chan struct{} // holds a token while a change waits to be published
	agentsChanged chan struct{} // the same for agents that came or went
}

// New makes a Server. It has nothing to tell until Run is called.
func New(options Options) *Server {
	return &Server{
		options:       options,
		snapshots:     feed.NewSnapshotStore(),
		agents:        newAgentSet(),
		changed:       make(chan struct{}, 1),
		agentsChanged: make(chan struct{}, 1),
	}
}

// Notify makes the server look at its sources again soon. It never blocks.
func (s *Server) Notify() { signal(s.changed) }

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// Agents lists the internal addresses of the agents that have asked for news lately, sorted.
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

// isStale tells whether the board lacks the configuration that is known here, as changes are gathered before they are
// published. A node that comes back into contact learns at the same moment that it is current and what it has missed.
func (s *Server) isStale() bool {
	version, _ := s.options.Sources.Configuration()
	return version > s.snapshots.Digest().ConfigurationVersion
}

func (s *Server) recordWatch(request feed.WatchRequest) {
	now := time.Now()
	changed := request.Agent != "" && s.agents.recordContact(request.Agent, now)
	for _, address := range request.Suspects {
		if s.agents.reportSuspect(address, now) {
			s.options.Logger.Info("agent dropped", zap.String("agent", address), zap.String("reporter", request.Agent))
			changed = true
		}
	}
	if changed {
		signal(s.agentsChanged)
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
		signal(s.agentsChanged)
	}
}
