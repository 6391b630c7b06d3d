// Package agent connects the proxy on the same machine to the control plane. An Agent polls the feed of one coordinator at a
// time. It exchanges the newest known state with agents on other machines by anti-entropy, and serves that state to its proxy over
// loopback.
//
// The configuration version and the leader terms that an Agent knows never decrease. An Agent accepts configurations and leaders
// from any coordinator or agent, so that an agent without access to the coordinators still gets updates. It is in contact with the
// control plane only while a coordinator that is in contact with a majority confirms that the agent has the newest configuration.
package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// Config holds the dependencies and settings of an Agent.
type Config struct {
	// Address is this agent's internal address, which coordinators and other agents use to identify and call it.
	Address string
	// Seeds are the internal addresses of coordinators to try in addition to those that the feed lists.
	Seeds  []string
	Caller transport.Caller
	Logger *zap.Logger
}

// Agent follows the feed. Its methods are safe for concurrent use.
type Agent struct {
	config    Config
	snapshots *feed.SnapshotStore // the state in force here, which is served to peers and the proxy
	contact   *contactTracker
	peers     *peerSelector
	// download collects the chunks of a configuration that is newer than the one in force.
	download *download

	mutex sync.Mutex
	seeds []string
	// membersConfirmed is when a coordinator last confirmed the lists of members, either to this agent or to the agent from which
	// this agent received them.
	membersConfirmed time.Time
}

// New returns an Agent with an empty state.
func New(config Config) *Agent {
	return &Agent{
		config:    config,
		snapshots: feed.NewSnapshotStore(),
		contact:   newContactTracker(),
		peers:     newPeerSelector(config.Address),
		seeds:     config.Seeds,

		download: newDownload(),
	}
}

// Run follows the feed, exchanges state with other agents and downloads configurations until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { a.follow(ctx) })
	running.Go(func() { a.exchangePeriodically(ctx) })
	running.Go(func() { a.fetchChunks(ctx) })
	running.Wait()
	return nil
}

// SetSeeds replaces the seeds after a change of the settings.
func (a *Agent) SetSeeds(seeds []string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = seeds
}

// Snapshot returns the newest state that the agent knows. The caller must not modify it.
func (a *Agent) Snapshot() feed.Snapshot { return a.snapshots.Snapshot() }

// InContact reports whether a coordinator has recently confirmed that the agent is up to date.
func (a *Agent) InContact() bool { return a.contact.remaining(time.Now()) > 0 }

// Mount registers the handlers for calls from other agents.
func (a *Agent) Mount(mux *transport.Mux) {
	transport.Handle(mux, feed.ExchangeCall, a.handleExchange)
	transport.Handle(mux, feed.ChunksCall, func(_ context.Context, request feed.ChunksRequest) (feed.ChunksReply, error) {
		return a.snapshots.Chunks(request), nil
	})
}

// MountLocal registers the handler for calls from the proxy on the same machine.
func (a *Agent) MountLocal(mux *transport.Mux) { transport.Handle(mux, feed.LocalCall, a.handleLocal) }

// candidates returns the coordinators to follow in order of preference: first those in the feed, then the other seeds.
func (a *Agent) candidates() []string {
	members := rank(a.config.Address, a.snapshots.Snapshot().Coordinators)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return appendMissing(members, rank(a.config.Address, a.seeds))
}
