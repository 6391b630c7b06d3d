package register

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register/registertest"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	testRegister = "test"
	testTimeout  = 2 * time.Minute // in simulated time
)

// brokenRule describes how a test breaks one rule of the protocol.
type brokenRule struct {
	name           string
	wrapStore      func(*storage.Memory) storage.SnapshotStore                         // replaces the acceptors' store
	acceptHandler  func(*Acceptor) func(context.Context, acceptRequest) (reply, error) // replaces the handler of accept requests
	modifyRegister func(*Register)                                                     // modifies the proposers
	skipRebuild    bool                                                                // a member that lost its disk votes before it is rebuilt
}

// cluster is a set of members on an in-memory network. It runs in simulated time.
type cluster struct {
	network    *networktest.Network
	view       replicaset.View
	brokenRule *brokenRule
	ctx        context.Context // ends a hanging test
	cancel     context.CancelFunc

	mutex   sync.Mutex // guards members
	members map[string]*process
}

// process is one run of a member, from a start to the next kill.
type process struct {
	disk      *storage.Memory
	store     *registertest.ProcessStore
	rebuilder *rebuild.Rebuilder
	register  *Register
	ctx       context.Context
	kill      context.CancelFunc
}

// The following methods implement rebuild.Views for a fixed view whose members never depart.

func (c *cluster) View() replicaset.View       { return c.view }
func (c *cluster) Changed() <-chan struct{}    { return nil }
func (c *cluster) Learn(replicaset.View) error { return nil }
func (c *cluster) Absences() uint64            { return 0 }
func (c *cluster) Departing() bool             { return false }
func (c *cluster) HasJoiningMember() bool      { return false }
func (c *cluster) AllOthersDeparting() bool    { return false }

// newCluster starts a cluster with the given number of members. A nil brokenRule breaks no rule.
func newCluster(seed uint64, size int, broken *brokenRule) *cluster {
	c := &cluster{
		network:    networktest.New(seed),
		view:       replicaset.View{Version: 1},
		brokenRule: broken,
		members:    make(map[string]*process),
	}
	if c.brokenRule == nil {
		c.brokenRule = &brokenRule{}
	}
	c.ctx, c.cancel = context.WithTimeout(context.Background(), testTimeout)
	for i := range size {
		c.view.Members = append(c.view.Members, fmt.Sprintf("member-%d", i))
	}
	for _, address := range c.view.Members {
		c.start(address, storage.NewMemory(), true)
	}
	return c
}

// start starts a process of a member with the given disk.
func (c *cluster) start(address string, disk *storage.Memory, firstStart bool) {
	p := &process{disk: disk, store: registertest.NewProcessStore(disk)}
	p.ctx, p.kill = context.WithCancel(context.Background())
	p.rebuilder, _ = rebuild.New(rebuild.Config{
		Self:       address,
		FirstStart: firstStart || c.brokenRule.skipRebuild,
		Views:      c,
		Store:      p.store,
		Caller:     c.network.Caller(address),
		Logger:     zap.NewNop(),
	})
	p.rebuilder.Register(Merge, TablePrefix)
	acceptor := c.acceptor(p)
	p.register = c.proposer(address, acceptor)
	mux := transport.NewMux()
	p.rebuilder.Serve(mux)
	c.serve(mux, acceptor)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.members[address] = p
	c.network.Serve(address, mux)
	go p.rebuilder.Run(p.ctx)
}

func (c *cluster) acceptor(p *process) *Acceptor {
	var store storage.Store = p.store
	if c.brokenRule.wrapStore != nil {
		p.store.SnapshotStore = c.brokenRule.wrapStore(p.disk)
	}
	return NewAcceptor(AcceptorConfig{
		Name:  testRegister,
		Store: store,
		Ready: func() bool { return p.store.Alive() && p.rebuilder.Ready() },
		View:  c.View,
	})
}

// serve registers the handlers of an acceptor. A broken accept handler replaces the regular one.
func (c *cluster) serve(mux *transport.Mux, acceptor *Acceptor) {
	if c.brokenRule.acceptHandler == nil {
		acceptor.Serve(mux)
		return
	}
	transport.Handle(mux, prepareCall(testRegister), acceptor.prepare)
	transport.Handle(mux, acceptCall(testRegister), c.brokenRule.acceptHandler(acceptor))
	transport.Handle(mux, readCall(testRegister), acceptor.read)
}

// proposer returns a register at an address. The acceptor is nil for a process that is not a member.
func (c *cluster) proposer(address string, acceptor *Acceptor) *Register {
	register := New(Config{
		Name:     testRegister,
		Self:     address,
		Acceptor: acceptor,
		View:     c.View,
		Caller:   c.network.Caller(address),
	})
	if c.brokenRule.modifyRegister != nil {
		c.brokenRule.modifyRegister(register)
	}
	return register
}

func (c *cluster) process(address string) *process {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.members[address]
}

// kill stops a member immediately and returns its disk.
func (c *cluster) kill(address string) *storage.Memory {
	p := c.process(address)
	c.network.Serve(address, nil)
	p.store.Kill()
	p.kill()
	return p.disk
}

// restart kills a member and starts it again after the downtime, with its disk or with an empty one.
func (c *cluster) restart(address string, downtime time.Duration, loseDisk bool) {
	disk := c.kill(address)
	if loseDisk {
		disk = storage.NewMemory()
	}
	<-time.After(downtime)
	c.start(address, disk, false)
}

// mayLoseDisk reports whether a majority of members would still have their disk if one more lost it.
func (c *cluster) mayLoseDisk(address string) bool {
	lost := 1
	for _, member := range c.view.Members {
		if member != address && !c.process(member).rebuilder.Ready() {
			lost++
		}
	}
	return lost <= len(c.view.Members)-c.view.Quorum()
}

// drainTime is the simulated time after which no message of a test is in flight any more.
const drainTime = 30 * time.Second

// shutdown kills all members and waits until all messages have been delivered.
func (c *cluster) shutdown() {
	for _, address := range c.view.Members {
		c.kill(address)
	}
	<-time.After(drainTime)
	c.cancel()
}
