package replicaset_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

const (
	testRegister  = "test"
	restartDelay  = 200 * time.Millisecond // until a process that ended by itself is started again
	firstViewTime = 2500 * time.Millisecond
)

// ruleMutant breaks one rule in a test; the zero value breaks none.
type ruleMutant struct {
	name                    string
	noRebuild               bool // a joining member votes before it is rebuilt
	votesInOldView          bool // a member votes for a while in the view before the one that it has learned
	dumpsInOldView          bool // a member gives a copy of its tables without having learned the view of the one who asks
	keepsOldVotes           bool // a member that was replaced and comes back votes by what its disk holds
	decidesAlone            bool // the next view is what a single member decides
	stopsAtOnce             bool // a member that is told to stop does not wait for its successor
	refusesOwnReplacement   bool // a member that is told to stop does not vote for its own replacement
	replacedGivesNoSnapshot bool // a member that was replaced gives no copy
}

// cluster is a set of core nodes on a network in memory, each with all that takes part in the change of members, and with
// a register that they replicate. It is to be run in simulated time.
type cluster struct {
	t       *testing.T
	network *networktest.Network
	seeds   []string
	mutant  ruleMutant
	tasks   sync.WaitGroup
	log     *zap.Logger                           // of the parts that lead; nil for none
	leads   func(p *coreNode) replication.Handler // of a group on the members' disks; nil for none

	mutex   sync.Mutex // guards what follows
	running map[string]*coreNode
	ending  bool
}

// core is one incarnation of a core node.
type coreNode struct {
	address   string
	zone      string
	start     time.Time
	disk      *storage.Memory
	store     *killableStore
	caller    transport.Caller
	manager   *replicaset.Manager
	rebuilder *rebuild.Rebuilder
	register  *register.Register
	node      *replication.Node
	ctx       context.Context
	kill      context.CancelFunc
	failed    atomic.Bool // a part ended with an error
}

// hasFailed tells whether a part of the process ended with an error, which ends a coordinator.
func (p *coreNode) hasFailed() bool { return p.failed.Load() }

// part runs a part of the process.
func (p *coreNode) runPart(run func(ctx context.Context) error) {
	if err := run(p.ctx); err != nil && p.ctx.Err() == nil {
		p.failed.Store(true)
	}
}

// inCluster runs a test in simulated time, after the given members have founded the first view.
func inCluster(t *testing.T, seed uint64, broken ruleMutant, members []string, test func(c *cluster)) {
	virtualtime.Test(t, func(t *testing.T) {
		c := &cluster{t: t, network: networktest.New(seed), seeds: members, mutant: broken, running: make(map[string]*coreNode)}
		c.network.SetFaults(networktest.Faults{Delay: 5 * time.Millisecond})
		for _, address := range members {
			c.start(address, "zone of "+address, storage.NewMemory(), true)
		}
		<-time.After(firstViewTime)
		test(c)
		c.end()
	})
}

// start starts a process unless there is one at the address.
func (c *cluster) start(address, zone string, disk *storage.Memory, firstStart bool) *coreNode {
	p := &coreNode{address: address, zone: zone, start: time.Now(), disk: disk, store: &killableStore{Memory: disk}}
	p.caller = killableCaller{c.network.Caller(address), p.store}
	p.ctx, p.kill = context.WithCancel(context.Background())
	mux := transport.NewMux()
	c.assembleViews(p, mux, firstStart)
	c.assembleRebuilder(p, mux, firstStart)
	c.assembleRegister(p, mux)
	c.assembleNode(p, mux)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending || c.running[address] != nil {
		p.kill()
		return p
	}
	c.running[address] = p
	c.network.Serve(address, mux)
	c.tasks.Go(func() { p.runPart(p.manager.Run) })
	c.tasks.Go(func() { p.runPart(p.rebuilder.Run) })
	c.tasks.Go(func() { p.node.Run(p.ctx) })
	c.tasks.Go(func() { c.watch(p) })
	return p
}

func (c *cluster) assembleViews(p *coreNode, mux *transport.Mux, firstStart bool) {
	ready := func() bool { return p.store.alive() && p.rebuilder.Ready() }
	founding := register.NewFounding(register.FoundingConfig{
		Self: p.address, Store: p.store, Ready: ready, Caller: p.caller,
		Founders: func() []string { return p.manager.Founders() },
	})
	succession := register.NewSuccession(register.SuccessionConfig{
		Self: p.address, Store: p.store, Ready: ready, Caller: p.caller,
		View:      func() replicaset.View { return p.manager.View() },
		Departing: func() bool { return !c.mutant.refusesOwnReplacement && p.manager.Departing() },
	})
	config := replicaset.Config{
		Self: p.address, Zone: p.zone, Seeds: c.seeds, FirstStart: firstStart, CountsForQuorum: true,
		Store: p.store, Caller: p.caller, Logger: zap.NewNop(),
		Founding: founding, Succession: succession, Liveness: p.liveness,
	}
	if c.mutant.decidesAlone {
		config.Succession = unilateralSuccession{}
	}
	manager, err := replicaset.NewManager(config)
	if err != nil {
		c.t.Fatal(err)
	}
	p.manager = manager
	founding.Serve(mux)
	succession.Serve(mux)
	manager.Serve(mux)
}

func (p *coreNode) liveness() replicaset.Liveness {
	liveness := replicaset.Liveness{QuorumReachable: p.node.InContact(), SinceHeard: make(map[string]time.Duration)}
	for _, member := range p.node.Members() {
		if member.Contacted {
			liveness.SinceHeard[member.Address] = member.SinceContact
		}
	}
	return liveness
}

func (c *cluster) assembleRebuilder(p *coreNode, mux *transport.Mux, firstStart bool) {
	var views rebuild.Views = p.manager
	if c.mutant.dumpsInOldView {
		views = &prematureViews{Manager: p.manager}
	}
	if c.mutant.keepsOldVotes {
		views = neverAbsentViews{p.manager}
	}
	incarnation := p.manager.Incarnation()
	if c.mutant.replacedGivesNoSnapshot {
		incarnation = 0
	}
	rebuilder, err := rebuild.New(rebuild.Config{
		Self: p.address, Incarnation: incarnation, FirstStart: firstStart, Views: views,
		Store: p.store, Caller: p.caller, Logger: zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	rebuilder.Register(register.Merge, register.TablePrefix)
	rebuilder.Register(rebuild.Infallible(replication.MergeTables), replication.StateTablePrefix, replication.MetaTablePrefix)
	rebuilder.Serve(mux)
	p.rebuilder = rebuilder
}

func (c *cluster) assembleRegister(p *coreNode, mux *transport.Mux) {
	acceptorView := p.manager.View
	if c.mutant.votesInOldView {
		acceptorView = staleView(p.manager.View)
	}
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: testRegister, Store: p.store, View: acceptorView,
		Ready: func() bool { return p.store.alive() && (c.mutant.noRebuild || p.rebuilder.Ready()) },
	})
	acceptor.Serve(mux)
	p.register = register.New(register.Config{
		Name: testRegister, Self: p.address, Acceptor: acceptor, View: p.manager.View, Caller: p.caller,
		OnNewerView: func(view replicaset.View) { p.manager.Learn(view) },
	})
}

// assembleNode makes the part that pings the other members, and leads the group where there is one.
func (c *cluster) assembleNode(p *coreNode, mux *transport.Mux) {
	config := replication.Config{
		Self: p.address, Store: storage.NewMemory(), Caller: p.caller, View: p.manager.View,
		Ready: func() bool { return c.mutant.noRebuild || p.rebuilder.Ready() }, Handler: noGroups{},
		Log: c.log,
	}
	if c.log != nil {
		config.Log = c.log.With(zap.String("at", p.address))
	}
	if c.leads != nil {
		config.Store, config.Handler = p.store, c.leads(p)
	}
	node, err := replication.NewNode(config)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.leads != nil {
		node.Ensure(scheduleGroup)
	}
	node.Serve(mux)
	p.node = node
}

// noGroups implements replication.Handler where there are no groups.
type noGroups struct{}

// Elected and Deposed implement replication.Handler.
func (noGroups) Elected(*replication.Term, map[string][]byte) {}
func (noGroups) Deposed(*replication.Term)                    {}

// watch starts a process again, on its disk, when it has ended because it was replaced. One that was told to stop ends by
// itself.
func (c *cluster) watch(p *coreNode) {
	err := p.rebuilder.Watch(p.ctx)
	if !errors.Is(err, rebuild.ErrReplaced) || p.manager.Departing() || !c.stop(p) {
		return
	}
	<-time.After(restartDelay)
	c.start(p.address, p.zone, p.disk, false)
}

// stop kills a process; false if it was dead already.
func (c *cluster) stop(p *coreNode) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.running[p.address] != p {
		return false
	}
	delete(c.running, p.address)
	c.network.Serve(p.address, nil)
	p.store.kill()
	p.kill()
	return true
}

// handoverTimeout is what a coordinator takes of a grace period of six seconds.
const handoverTimeout = 3 * time.Second

// stopGracefully lets a process hand over to a joining member if one waits, and then ends it, as a coordinator does.
func (c *cluster) stopGracefully(p *coreNode) {
	limited, cancel := context.WithTimeout(p.ctx, handoverTimeout)
	defer cancel()
	if c.mutant.stopsAtOnce {
		limited, cancel = context.WithTimeout(p.ctx, time.Millisecond)
		defer cancel()
	}
	p.rebuilder.HandOver(limited, p.manager.Leave)
	c.stop(p)
}

// at returns the process at an address; nil while there is none.
func (c *cluster) at(address string) *coreNode {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running[address]
}

// all lists the running processes.
func (c *cluster) all() []*coreNode {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []*coreNode
	for _, p := range c.running {
		all = append(all, p)
	}
	return all
}

// sorted lists the running processes by address.
func (c *cluster) sorted() []*coreNode {
	all := c.all()
	slices.SortFunc(all, func(a, b *coreNode) int { return strings.Compare(a.address, b.address) })
	return all
}

func (c *cluster) end() {
	c.mutex.Lock()
	c.ending = true
	c.mutex.Unlock()
	for _, p := range c.all() {
		c.stop(p)
	}
	c.tasks.Wait()
	<-time.After(drainTime)
}

// awaitMembership waits until a process is a member that may vote, and returns how long that took from its start.
func (p *coreNode) awaitMembership(limit time.Duration) time.Duration {
	for deadline := time.After(limit); ; {
		changed := p.manager.Changed()
		if p.manager.View().Has(p.address) {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			return limit
		}
	}
	select {
	case <-p.rebuilder.Complete():
	case <-time.After(limit):
	}
	return time.Since(p.start)
}
