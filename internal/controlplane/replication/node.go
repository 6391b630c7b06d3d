package replication

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"
	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/random"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/wakeup"
)

// Config configures a Node.
type Config struct {
	Self    string        // internal address of this node, as in the view
	Store   storage.Store // the node owns all tables with the prefixes StateTablePrefix and MetaTablePrefix
	Caller  transport.Caller
	View    func() replicaset.View // returns the newest known view; must not call the node
	Ready   func() bool            // reports whether the replica may vote; stays true once true; must not call the node
	Handler Handler
	Log     *zap.Logger
	Clock   Clock // nil means a monotonic clock of the process
	Timing  Timing
	Limits  Limits
}

var (
	errIncompleteConfig = errors.New("replication: required field missing in Config")
	errLeaseTooLong     = errors.New("replication: LeaderLease must be shorter than FollowerLease")
	errRequestCancelled = errors.New("replication: request cancelled before a reply was available")
)

// Node runs the replicas of all replication groups on one coordinator.
type Node struct {
	config Config
	log    *zap.Logger
	ctx    context.Context // context of all calls
	cancel context.CancelFunc
	tasks  taskGroup
	wakeUp wakeup.Signal

	mu   sync.Mutex
	core *core
}

// NewNode creates a node and restores its groups from the store. The node votes from the start, but campaigns and leads only
// while Run is running. NewNode returns an error if a required field of the configuration is missing, or if the lease of a
// leader is not shorter than the leases of its followers.
func NewNode(config Config) (*Node, error) {
	config.Timing = config.Timing.withDefaults()
	if config.Timing.LeaderLease >= config.Timing.FollowerLease {
		return nil, errLeaseTooLong
	}
	if config.Self == "" || config.Store == nil || config.Caller == nil || config.View == nil || config.Ready == nil || config.Handler == nil {
		return nil, errIncompleteConfig
	}
	if config.Clock == nil {
		config.Clock = monotonicClock{time.Now()}
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	n := &Node{config: config, log: config.Log, wakeUp: wakeup.New()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	seed := xxh3.HashString(config.Self) ^ uint64(time.Now().UnixNano())
	n.core = newCore(config, random.PCG(seed))
	n.core.runStep = n.runStep
	n.core.spawn = n.spawn
	n.core.restore()
	return n, nil
}

func newCore(config Config, random random.PCG) *core {
	return &core{
		self: config.Self, timing: config.Timing, log: config.Log, store: config.Store, handler: config.Handler,
		clock: config.Clock, random: random, now: config.Clock.Now(),
		limits: config.Limits.withDefaults(), receivingSnapshot: make(map[string]bool),
		groups:  make(map[string]*group),
		leaders: newLeaderTable(),
		members: newMembers(config.Self, config.Timing.LivenessTimeout),
	}
}

// Ensure declares that a group exists, so that this node campaigns for it if it has no leader.
func (n *Node) Ensure(group string) { n.runStep(func() { n.core.ensureGroup(group) }) }

// Groups returns the names of all known groups, sorted.
func (n *Node) Groups() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	names := make(map[string]struct{}, len(n.core.groups))
	for name := range n.core.groups {
		names[name] = struct{}{}
	}
	for name := range n.core.leaders.byGroup {
		names[name] = struct{}{}
	}
	return slices.Sorted(maps.Keys(names))
}

// Leaders returns the newest known leader of each group.
func (n *Node) Leaders() map[string]feed.Leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.core.leaders.byGroup)
}

// LeadersChanged returns a channel that is closed on the next change of Leaders.
func (n *Node) LeadersChanged() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.leaders.changed
}

// InContact reports whether a majority of the view, including this node, answered pings sent within Timing.LivenessTimeout.
func (n *Node) InContact() bool {
	view := n.config.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.members.contactsQuorum(view, n.config.Clock.Now())
}
