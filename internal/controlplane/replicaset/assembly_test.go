package replicaset_test

import (
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

// testRegister is the name of the register that the coordinators replicate.
const testRegister = "test"

func (c *cluster) assembleViews(p *testCoordinator, mux *transport.Mux, firstStart bool) {
	ready := func() bool { return p.store.alive() && p.rebuilder.Ready() }
	founding := register.NewFounding(register.FoundingConfig{
		Self: p.address, Store: p.store, Ready: ready, Caller: p.caller,
		Founders: func() []string { return p.manager.Founders() },
	})
	succession := register.NewSuccession(register.SuccessionConfig{
		Self: p.address, Store: p.store, Ready: ready, Caller: p.caller,
		View:      func() replicaset.View { return p.manager.View() },
		Departing: func() bool { return !c.mutation.refusesOwnReplacement && p.manager.Departing() },
	})
	config := replicaset.Config{
		Self: p.address, Zone: p.zone, Seeds: c.seeds, FirstStart: firstStart, CountsForQuorum: true,
		Store: p.store, Caller: p.caller, Logger: zap.NewNop(),
		Founding: founding, Succession: succession, Liveness: p.liveness,
	}
	if c.mutation.commitsWithoutQuorum {
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

func (p *testCoordinator) liveness() replicaset.Liveness {
	liveness := replicaset.Liveness{QuorumReachable: p.node.InContact(), SinceContact: make(map[string]time.Duration)}
	for _, member := range p.node.Members() {
		if member.Contacted {
			liveness.SinceContact[member.Address] = member.SinceContact
		}
	}
	return liveness
}

func (c *cluster) assembleRebuilder(p *testCoordinator, mux *transport.Mux, firstStart bool) {
	var views rebuild.Views = p.manager
	if c.mutation.snapshotsInOldView {
		views = &prematureViews{Manager: p.manager}
	}
	if c.mutation.votesWithOutdatedDisk {
		views = neverAbsentViews{p.manager}
	}
	incarnation := p.manager.Incarnation()
	if c.mutation.replacedGivesNoSnapshot {
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

func (c *cluster) assembleRegister(p *testCoordinator, mux *transport.Mux) {
	acceptorView := p.manager.View
	if c.mutation.votesInOldView {
		acceptorView = staleView(p.manager.View)
	}
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: testRegister, Store: p.store, View: acceptorView,
		Ready: func() bool { return p.store.alive() && (c.mutation.votesBeforeRebuild || p.rebuilder.Ready()) },
	})
	acceptor.Serve(mux)
	p.register = register.New(register.Config{
		Name: testRegister, Self: p.address, Acceptor: acceptor, View: p.manager.View, Caller: p.caller,
		OnNewerView: func(view replicaset.View) { p.manager.Learn(view) },
	})
}

// assembleNode creates the replication node, which pings the other members. It also replicates the fault schedule's group if the
// cluster has a groupHandler.
func (c *cluster) assembleNode(p *testCoordinator, mux *transport.Mux) {
	config := replication.Config{
		Self: p.address, Store: storage.NewMemory(), Caller: p.caller, View: p.manager.View,
		Ready: func() bool { return c.mutation.votesBeforeRebuild || p.rebuilder.Ready() }, Handler: noGroupHandler{},
		Log: c.log,
	}
	if c.log != nil {
		config.Log = c.log.With(zap.String("at", p.address))
	}
	if c.groupHandler != nil {
		config.Store, config.Handler = p.store, c.groupHandler(p)
	}
	node, err := replication.NewNode(config)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.groupHandler != nil {
		node.Ensure(scheduleGroup)
	}
	node.Serve(mux)
	p.node = node
}

// noGroupHandler implements replication.Handler for a node without groups.
type noGroupHandler struct{}

// Elected and Deposed implement replication.Handler.
func (noGroupHandler) Elected(*replication.Term, map[string][]byte) {}
func (noGroupHandler) Deposed(*replication.Term)                    {}
