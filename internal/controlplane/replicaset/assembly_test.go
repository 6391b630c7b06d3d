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

func (c *cluster) assembleViews(coordinator *testCoordinator, mux *transport.Mux, firstStart bool) {
	ready := func() bool { return coordinator.store.alive() && coordinator.rebuilder.Ready() }
	bootstrap := register.NewBootstrap(register.BootstrapConfig{
		Self: coordinator.address, Store: coordinator.store, Ready: ready, Caller: coordinator.caller,
		Founders: func() []string { return coordinator.manager.Founders() },
	})
	viewChange := register.NewViewChange(register.ViewChangeConfig{
		Self: coordinator.address, Store: coordinator.store, Ready: ready, Caller: coordinator.caller,
		View:      func() replicaset.View { return coordinator.manager.View() },
		Departing: func() bool { return !c.mutation.refusesOwnReplacement && coordinator.manager.Departing() },
	})
	config := replicaset.Config{
		Self: coordinator.address, Zone: coordinator.zone, Seeds: c.seeds, FirstStart: firstStart, CountsForQuorum: true,
		Store: coordinator.store, Caller: coordinator.caller, Logger: zap.NewNop(),
		Bootstrap: bootstrap, ViewChange: viewChange, Liveness: coordinator.liveness,
	}
	if c.mutation.commitsWithoutQuorum {
		config.ViewChange = unilateralViewChange{}
	}
	manager, err := replicaset.NewManager(config)
	if err != nil {
		c.t.Fatal(err)
	}
	coordinator.manager = manager
	bootstrap.Serve(mux)
	viewChange.Serve(mux)
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

func (c *cluster) assembleRebuilder(coordinator *testCoordinator, mux *transport.Mux, firstStart bool) {
	var views rebuild.Views = coordinator.manager
	if c.mutation.snapshotsInOldView {
		views = &prematureViews{Manager: coordinator.manager}
	}
	if c.mutation.votesWithOutdatedDisk {
		views = neverAbsentViews{coordinator.manager}
	}
	incarnation := coordinator.manager.Incarnation()
	if c.mutation.replacedGivesNoSnapshot {
		incarnation = 0
	}
	rebuilder, err := rebuild.New(rebuild.Config{
		Self: coordinator.address, Incarnation: incarnation, FirstStart: firstStart, Views: views,
		Store: coordinator.store, Caller: coordinator.caller, Logger: zap.NewNop(),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	rebuilder.Register(register.Merge, register.TablePrefix)
	rebuilder.Register(rebuild.Infallible(replication.MergeTables), replication.StateTablePrefix, replication.MetaTablePrefix)
	rebuilder.Serve(mux)
	coordinator.rebuilder = rebuilder
}

func (c *cluster) assembleRegister(coordinator *testCoordinator, mux *transport.Mux) {
	acceptorView := coordinator.manager.View
	if c.mutation.votesInOldView {
		acceptorView = staleView(coordinator.manager.View)
	}
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: testRegister, Store: coordinator.store, View: acceptorView,
		Ready: func() bool {
			return coordinator.store.alive() && (c.mutation.votesBeforeRebuild || coordinator.rebuilder.Ready())
		},
	})
	acceptor.Serve(mux)
	coordinator.register = register.New(register.Config{
		Name: testRegister, Self: coordinator.address, Acceptor: acceptor, View: coordinator.manager.View, Caller: coordinator.caller,
		OnNewerView: func(view replicaset.View) { coordinator.manager.Learn(view) },
	})
}

// assembleNode creates the replication node, which pings the other members. It also replicates the fault schedule's group if the
// cluster has a groupHandler.
func (c *cluster) assembleNode(coordinator *testCoordinator, mux *transport.Mux) {
	config := replication.Config{
		Self: coordinator.address, Store: storage.NewMemory(), Caller: coordinator.caller, View: coordinator.manager.View,
		Ready: func() bool { return c.mutation.votesBeforeRebuild || coordinator.rebuilder.Ready() }, Handler: noGroupHandler{},
		Log: c.log,
	}
	if c.log != nil {
		config.Log = c.log.With(zap.String("at", coordinator.address))
	}
	if c.groupHandler != nil {
		config.Store, config.Handler = coordinator.store, c.groupHandler(coordinator)
	}
	node, err := replication.NewNode(config)
	if err != nil {
		c.t.Fatal(err)
	}
	if c.groupHandler != nil {
		node.Ensure(scheduleGroup)
	}
	node.Serve(mux)
	coordinator.node = node
}

// noGroupHandler implements replication.Handler for a node without groups.
type noGroupHandler struct{}

// Elected and Deposed implement replication.Handler.
func (noGroupHandler) Elected(*replication.Term, map[string][]byte) {}
func (noGroupHandler) Deposed(*replication.Term)                    {}
