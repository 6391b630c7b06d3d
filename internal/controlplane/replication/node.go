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
	"puffinlink.example/puffinlink/internal/rpcerror"
	"puffinlink.example/puffinlink/internal/transport"
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

// Node is one core node's part in all replication groups.
type Node struct {
	config Config
	log    *zap.Logger
	ctx    context.Context // of calls and handlers
	cancel context.CancelFunc
	tasks  sync.WaitGroup
	wakeUp chan struct{}

	mu   sync.Mutex
	core *core
}

// NewNode makes a node with what its store holds. It votes from the start, and leads while Run runs.
func NewNode(config Config) (*Node, error) {
	config.Timing = config.Timing.withDefaults()
	if config.Timing.LeaderLease >= config.Timing.FollowerLease {
		return nil, errLeaseTooLong
	}
	if config.Self == "" || config.Store == nil || config.Caller == nil || config.View == nil || config.Ready == nil || config.Handler == nil {
		return nil, errors.New("replication: a field of Config is missing")
	}
	if config.Clock == nil {
		config.Clock = steadyClock{time.Now()}
	}
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	n := &Node{config: config, log: config.Log, wakeUp: make(chan struct{}, 1)}
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

// Serve adds the node's internal calls to a mux.
func (n *Node) Serve(mux *transport.Mux) {
	transport.Handle(mux, voteCall, func(ctx context.Context, request voteRequest) (voteReply, error) {
		return serve(ctx, n, func(reply func(voteReply)) { n.core.requestVote(request, reply) })
	})
	transport.Handle(mux, appendCall, func(ctx context.Context, request appendRequest) (appendReply, error) {
		return serve(ctx, n, func(reply func(appendReply)) { n.core.append(request, reply) })
	})
	transport.Handle(mux, snapshotCall, func(ctx context.Context, request snapshotRequest) (snapshotReply, error) {
		return serve(ctx, n, func(reply func(snapshotReply)) { n.core.serveSnapshot(request, reply) })
	})
	transport.Handle(mux, pingCall, func(ctx context.Context, request pingRequest) (pingReply, error) {
		return serve(ctx, n, func(reply func(pingReply)) { n.core.ping(request, reply) })
	})
	transport.Handle(mux, resignCall, func(ctx context.Context, request resignRequest) (resignReply, error) {
		return serve(ctx, n, func(reply func(resignReply)) {
			n.core.leaderResigned(request)
			reply(resignReply{})
		})
	})
}

// serve runs a request as a step and waits for the reply. A write that the step asks for runs on this goroutine, which
// would only wait for it.
func serve[Reply any](ctx context.Context, n *Node, step func(reply func(Reply))) (Reply, error) {
	replies := make(chan Reply, 1)
	work := n.step(func() { step(func(reply Reply) { replies <- reply }) })
	if len(work.writes) == 1 && len(work.calls) == 0 {
		work = n.write(work.writes[0])
	}
	n.perform(work, false)
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	var none Reply
	return none, rpcerror.WrapMayHaveExecuted(errors.New("replication: the request was given up"))
}

// step runs one step of the core. Its effects count as tasks from then on.
func (n *Node) step(step func()) effects {
	view, ready := n.config.View(), n.config.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.core.observe(n.config.Clock.Now(), view, ready)
	step()
	if n.core.tickEarlier {
		n.core.tickEarlier = false
		n.wake()
	}
	work := n.core.takeEffects()
	n.tasks.Add(len(work.writes) + len(work.calls))
	return work
}

func (n *Node) wake() {
	select {
	case n.wakeUp <- struct{}{}:
	default:
	}
}

// runStep runs a step whose caller must not wait for its effects.
func (n *Node) runStep(step func()) { n.perform(n.step(step), false) }

// perform carries out effects, each on its own goroutine, but for the last one if the present goroutine may wait.
func (n *Node) perform(work effects, mayWait bool) {
	for mayWait && len(work.writes)+len(work.calls) == 1 {
		if len(work.writes) == 1 {
			work = n.write(work.writes[0])
		} else {
			work = n.send(work.calls[0])
		}
	}
	for _, one := range work.writes {
		go func() { n.perform(n.write(one), true) }()
	}
	for _, one := range work.calls {
		go func() { n.perform(n.send(one), true) }()
	}
}

func (n *Node) spawn(task func()) { n.tasks.Go(task) }

func (n *Node) write(one storeWrite) effects {
	defer n.tasks.Done()
	err := n.config.Store.Write(one.changes...)
	return n.step(func() { one.done(err) })
}

func (n *Node) send(one rpc) effects {
	defer n.tasks.Done()
	ctx, cancel := context.WithTimeout(n.ctx, one.timeout)
	defer cancel()
	err := n.config.Caller.Call(ctx, one.address, one.route, one.request, one.reply)
	return n.step(func() { one.done(err) })
}

// Run campaigns and leads until the context ends; then it resigns all terms and waits for their handlers. The node
// must not be used afterwards.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			n.shutdown()
			return
		case <-timer.C:
		case <-n.wakeUp:
		}
		var next time.Duration
		n.runStep(func() { next = n.core.tick() })
		timer.Reset(max(next-n.config.Clock.Now(), time.Millisecond))
	}
}

// shutdown gives the resignations the time of one heartbeat to arrive.
func (n *Node) shutdown() {
	n.runStep(n.core.stop)
	ended := make(chan struct{})
	go func() { n.tasks.Wait(); close(ended) }()
	timer := time.NewTimer(n.config.Timing.HeartbeatInterval)
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	}
	n.cancel()
	<-ended
}

// Ensure tells that a group exists, so that this node campaigns for it when due.
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

// InContact tells whether a majority of the view, this node included, has answered of late.
func (n *Node) InContact() bool {
	view := n.config.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.members.contactsQuorum(view, n.config.Clock.Now())
}
