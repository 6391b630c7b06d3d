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

// Config is what a Node needs.
type Config struct {
	Self    string        // internal address, as in the view
	Store   storage.Store // tables of the prefixes StateTablePrefix and MetaTablePrefix are the node's
	Caller  transport.Caller
	View    func() replicaset.View // the newest known; must not call the node
	Ready   func() bool            // the replica may vote; once true it stays so; must not call the node
	Handler Handler
	Log     *zap.Logger
	Clock   Clock // the process's steady clock when nil
	Timing  Timing
	Limits  Limits
}

var (
	errIncompleteConfig = errors.New("replication: a field of Config is missing")
	errLeaseTooLong     = errors.New("replication: LeaderLease must be shorter than FollowerLease")
	errAbandoned        = errors.New("replication: the request was given up")
)

// Node is one core node's part in all replication groups.
type Node struct {
	config Config
	log    *zap.Logger
	ctx    context.Context // of calls and handlers
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wakeUp wakeup.Signal

	mu   sync.Mutex
	core *core
}

// NewNode makes a node on what its store holds. It votes from the start, and campaigns and leads while Run runs. The error tells
// what is missing in the configuration, or that a leader's lease would outlast those of its followers.
func NewNode(config Config) (*Node, error) {
	config.Timing = config.Timing.withDefaults()
	if config.Timing.LeaderLease >= config.Timing.FollowerLease {
		return nil, errLeaseTooLong
	}
	if config.Self == "" || config.Store == nil || config.Caller == nil || config.View == nil || config.Ready == nil || config.Handler == nil {
		return nil, errIncompleteConfig
	}
	if config.Clock == nil {
		config.Clock = steadyClock{time.Now()}
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

// Ensure declares that a group exists, so that this node campaigns for it when due.
func (n *Node) Ensure(group string) { n.runStep(func() { n.core.ensure(group) }) }

// Groups lists all groups known, sorted.
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

// Changed returns a channel that is closed at the next change of Leaders.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.leaders.changed
}

// InContact tells whether a majority of the view, this node included, has answered within Timing.LivenessTimeout.
func (n *Node) InContact() bool {
	view := n.config.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.members.contactsQuorum(view, n.config.Clock.Now())
}
