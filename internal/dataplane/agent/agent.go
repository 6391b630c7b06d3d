// Package agent is the process beside each proxy that keeps the link to the control plane. It follows one coordinator's
// feed, exchanges what it knows with the agents of other machines, and feeds the proxy over loopback.
package agent

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/transport"
)

// Config is what an Agent needs.
type Config struct {
	// Address is this agent's internal address, by which coordinators and other agents know it.
	Address string
	// Seeds are internal addresses of coordinators to begin with.
	Seeds  []string
	Caller transport.Caller
	Logger *zap.Logger
}

// Agent follows the feed. Its methods may be called from any goroutine.
type Agent struct {
	config    Config
	snapshots *feed.SnapshotStore // what is in force here, and what peers and the proxy get
	contact   *contact
	peers     *peers
	// download gathers a configuration that is newer than the board's.
	download *download

	mutex sync.Mutex
	seeds []string
	// membersConfirmed is when a coordinator last confirmed the lists of members, here or at the agent that passed them on.
	membersConfirmed time.Time
}

// New makes an Agent that knows nothing yet.
func New(config Config) *Agent {
	return &Agent{
		config:    config,
		snapshots: feed.NewSnapshotStore(),
		contact:   newContact(),
		peers:     newPeers(config.Address),
		seeds:     config.Seeds,

		download: newDownload(),
	}
}

// Run follows the feed until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	var running sync.WaitGroup
	running.Go(func() { a.follow(ctx) })
	running.Go(func() { a.exchangeRegularly(ctx) })
	running.Go(func() { a.fetchChunks(ctx) })
	running.Wait()
	return nil
}

// SetSeeds replaces the addresses to begin with, as the settings have changed.
func (a *Agent) SetSeeds(seeds []string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.seeds = seeds
}

// Snapshot returns what the agent knows. The caller must not modify it.
func (a *Agent) Snapshot() feed.Snapshot { return a.snapshots.Snapshot() }

// InContact tells whether a coordinator has lately confirmed that the agent is up to date.
func (a *Agent) InContact() bool { return a.contact.remaining(time.Now()) > 0 }

// Mount serves the calls of other agents.
func (a *Agent) Mount(mux *transport.Mux) {
	transport.Handle(mux, feed.ExchangeCall, a.handleExchange)
	transport.Handle(mux, feed.ChunksCall, func(_ context.Context, request feed.ChunksRequest) (feed.ChunksReply, error) {
		return a.snapshots.Chunks(request), nil
	})
}

// MountLocal serves the calls of the proxy on the same machine.
func (a *Agent) MountLocal(mux *transport.Mux) { transport.Handle(mux, feed.LocalCall, a.handleLocal) }

// candidates lists the coordinators to follow: those that the feed names, and then the seeds.
func (a *Agent) candidates() []string {
	members := rank(a.config.Address, a.snapshots.Snapshot().Core)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return appendMissing(members, rank(a.config.Address, a.seeds))
}
