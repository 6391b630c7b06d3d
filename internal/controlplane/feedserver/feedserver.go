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
	// gatherTime is how long changes in quick succession are gathered before those who wait are told.
	gatherTime = 20 * time.Millisecond
	// gatherFrontTime is the same for agents that come and go, which is not urgent.
	gatherFrontTime = 500 * time.Millisecond
	// tickInterval is the pause between looks for agents that have fallen silent.
	tickInterval = time.Second
	// shareInterval is the pause between calls that tell another core node of the agents heard here.
	shareInterval = time.Second
	// shareTimeout bounds one such call.
	shareTimeout = 800 * time.Millisecond
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
	options      Options
	board        *feed.Board
	front        *front
	changed      chan struct{} // holds a token while a change waits to be published
	frontChanged chan struct{} // the same for agents that came or went
}

// New makes a Server. It has nothing to tell until Run is called.
func New(options Options) *Server {
	return &Server{
		options:      options,
		board:        feed.NewBoard(),
		front:        newFront(),
		changed:      make(chan struct{}, 1),
		frontChanged: make(chan struct{}, 1),
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
func (s *Server) Agents() []string { return s.front.agents(time.Now()) }

// Mount serves the calls of agents and of other core nodes.
func (s *Server) Mount(mux *transport.Mux) {
	transport.Handle(mux, feed.WatchCall, s.watch)
	transport.Handle(mux, feed.ChunksCall, s.chunks)
	transport.Handle(mux, feed.FrontCall, s.share)
}

func (s *Server) watch(ctx context.Context, ask feed.Watch) (feed.WatchReply, error) {
	s.note(ask)
	wait := min(time.Duration(ask.WaitMS)*time.Millisecond, maxWait)
	if !s.options.Sources.InContact() {
		wait = 0
	}
	news := s.board.Wait(ctx, ask.Known, wait)
	current := s.options.Sources.InContact()
	if current && s.behind() {
		s.publish()
		news, _ = s.board.Since(ask.Known)
	}
	return feed.WatchReply{Current: current, Changed: news != nil, Snapshot: s.board.ByChunks(news, ask.Known, ask.Room)}, nil
}

func (s *Server) chunks(_ context.Context, ask feed.ChunksRequest) (feed.ChunksReply, error) {
	return s.board.Chunks(ask), nil
}

// behind tells whether the board lacks the configuration that is known here, as changes are gathered before they are
// published. A node that comes back into contact learns at the same moment that it is current and what it has missed.
func (s *Server) behind() bool {
	version, _ := s.options.Sources.Configuration()
	return version > s.board.Digest().ConfigurationVersion
}

func (s *Server) note(ask feed.Watch) {
	now := time.Now()
	moved := ask.Agent != "" && s.front.hear(ask.Agent, now)
	for _, address := range ask.Suspects {
		if s.front.suspect(address, now) {
			s.options.Logger.Info("agent dropped", zap.String("agent", address), zap.String("reporter", ask.Agent))
			moved = true
		}
	}
	if moved {
		signal(s.frontChanged)
	}
}

func (s *Server) share(_ context.Context, told feed.Front) (feed.Front, error) {
	now := time.Now()
	reply := s.front.ages(now)
	s.learn(told, now)
	return reply, nil
}

func (s *Server) learn(told feed.Front, now time.Time) {
	if s.front.learn(told, now) {
		signal(s.frontChanged)
	}
}
