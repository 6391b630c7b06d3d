// Package feedserver serves the feed (package feed) on a coordinator. It publishes the state of its Sources to agents, which wait for
// changes with a long poll. It also tracks the active agents: those that have recently called any coordinator. A reply is marked as
// current only while this coordinator is in contact with a majority, and it then contains the newest configuration known here.
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
	// maxWatchWait limits the time for which a watch call waits for a change.
	maxWatchWait = 2 * time.Second
	// batchDelay is the time for which changes are collected before they are published together.
	batchDelay = 20 * time.Millisecond
	// agentBatchDelay is the corresponding delay for changes to the set of agents, which are less urgent.
	agentBatchDelay = 500 * time.Millisecond
	// expiryInterval is the interval between checks for agents that have not called for contactTimeout.
	expiryInterval = time.Second
	// exchangeInterval is the interval between exchanges of agent contacts with another coordinator.
	exchangeInterval = time.Second
	// exchangeTimeout limits the duration of one exchange of agent contacts.
	exchangeTimeout = 800 * time.Millisecond
)

// Sources provides the state that a Server publishes. All functions must return quickly.
type Sources struct {
	// Configuration returns the newest configuration that a majority has. The version is 0 if there is none yet.
	Configuration func() (version uint64, body []byte)
	// Leaders returns the leaders by group.
	Leaders func() map[string]feed.Leader
	// Coordinators returns the internal addresses of the coordinators.
	Coordinators func() []string
	// InContact reports whether a majority has recently confirmed the state of this coordinator.
	InContact func() bool
	// ChangeSignals holds one function per source of changes. Each returns a channel that is closed at the source's next change.
	ChangeSignals []func() <-chan struct{}
}

// Options holds the dependencies and settings of a Server.
type Options struct {
	Sources Sources
	// Caller makes calls to the other coordinators.
	Caller transport.Caller
	// Address is this coordinator's internal address, host:port.
	Address string
	Logger  *zap.Logger
}

// Server serves the feed. Its methods are safe for concurrent use.
type Server struct {
	options       Options
	snapshots     *feed.SnapshotStore
	agents        *agentSet
	changed       wakeup.Signal // a source may have changed
	agentsChanged wakeup.Signal // the set of agents may have changed
}

// New returns a Server that publishes nothing until Run is called.
func New(options Options) *Server {
	return &Server{
		options:       options,
		snapshots:     feed.NewSnapshotStore(),
		agents:        newAgentSet(),
		changed:       wakeup.New(),
		agentsChanged: wakeup.New(),
	}
}

// Notify schedules publishing of the current state of the sources. It never blocks.
func (s *Server) Notify() { s.changed.Notify() }

// Agents returns the sorted internal addresses of the agents that have recently called a coordinator.
func (s *Server) Agents() []string { return s.agents.active(time.Now()) }

// Mount registers the handlers for calls from agents and other coordinators.
func (s *Server) Mount(mux *transport.Mux) {
	transport.Handle(mux, feed.WatchCall, s.watch)
	transport.Handle(mux, feed.ChunksCall, s.chunks)
	transport.Handle(mux, feed.AgentContactsCall, s.exchangeContacts)
}

func (s *Server) watch(ctx context.Context, request feed.WatchRequest) (feed.WatchReply, error) {
	s.recordWatch(request)
	wait := min(time.Duration(request.WaitMS)*time.Millisecond, maxWatchWait)
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

// isStale reports whether the newest configuration known here has not been published yet. A coordinator that regains contact with
// a majority is current as soon as it knows the configuration that it missed. Its current replies must contain that configuration.
func (s *Server) isStale() bool {
	version, _ := s.options.Sources.Configuration()
	return version > s.snapshots.Digest().ConfigurationVersion
}

// recordWatch records the contact of the calling agent and processes the suspects that it reports.
func (s *Server) recordWatch(request feed.WatchRequest) {
	now := time.Now()
	changed := request.Agent != "" && s.agents.recordContact(request.Agent, now)
	for _, address := range request.Suspects {
		if s.agents.removeSuspect(address, now) {
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
