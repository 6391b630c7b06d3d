package coordinator

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

// assemble creates the components. Each one is created after those that it needs.
func (c *Coordinator) assemble() error {
	self := c.settings.InternalAddress(0)
	if err := c.assembleReplicaSet(self); err != nil {
		return err
	}
	var err error
	c.rebuilder, err = rebuild.New(rebuild.Config{
		Self: self, Incarnation: c.replicaSet.Incarnation(), FirstStart: c.settings.FirstStart, Views: c.replicaSet,
		Store: c.store, Caller: c.caller, Logger: c.log,
	})
	if err != nil {
		return fmt.Errorf("rebuild: %w", err)
	}
	c.assembleConfiguration(self)
	if err := c.assembleJobs(self); err != nil {
		return err
	}
	c.rebuilder.Register(register.Merge, registerTablePrefix)
	c.rebuilder.Register(rebuild.Infallible(replication.MergeTables), replication.StateTablePrefix, replication.MetaTablePrefix)
	c.rebuilder.Serve(c.mux)
	c.assembleFeed(self)
	return nil
}

func (c *Coordinator) assembleReplicaSet(self string) error {
	ready := func() bool { return c.rebuilder.Ready() }
	bootstrap := register.NewBootstrap(register.BootstrapConfig{
		Self: self, Store: c.store, Ready: ready, Caller: c.caller,
		Founders: func() []string { return c.replicaSet.Founders() },
	})
	viewChange := register.NewViewChange(register.ViewChangeConfig{
		Self: self, Store: c.store, Ready: ready, Caller: c.caller,
		View:      func() replicaset.View { return c.replicaSet.View() },
		Departing: func() bool { return c.replicaSet.Departing() },
	})
	var err error
	c.replicaSet, err = replicaset.NewManager(replicaset.Config{
		Self: self, Zone: c.settings.Zone, Seeds: c.settings.SeedInternalAddresses(), FirstStart: c.settings.FirstStart,
		CountsForQuorum: true, Store: c.store, Caller: c.caller, Logger: c.log,
		Bootstrap: bootstrap, ViewChange: viewChange, Liveness: c.memberLiveness,
	})
	if err != nil {
		return fmt.Errorf("replica set: %w", err)
	}
	bootstrap.Serve(c.mux)
	viewChange.Serve(c.mux)
	c.replicaSet.Serve(c.mux)
	return nil
}

// memberLiveness returns the time since the last contact with each of the other members, and whether a quorum is reachable.
func (c *Coordinator) memberLiveness() replicaset.Liveness {
	liveness := replicaset.Liveness{QuorumReachable: c.replicationNode.InContact(), SinceContact: make(map[string]time.Duration)}
	for _, member := range c.replicationNode.Members() {
		if member.Contacted {
			liveness.SinceContact[member.Address] = member.SinceContact
		}
	}
	return liveness
}

func (c *Coordinator) assembleConfiguration(self string) {
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: configurationRegister, Store: c.store, Ready: c.rebuilder.Ready, View: c.replicaSet.View,
	})
	acceptor.Serve(c.mux)
	configurationStore := register.New(register.Config{
		Name: configurationRegister, Self: self, Acceptor: acceptor, View: c.replicaSet.View, Caller: c.caller,
		OnNewerView: func(view replicaset.View) { c.adoptView(view) },
	})
	c.configurator = configuration.New(configuration.Options{
		Register: configurationStore, Caller: c.caller, Members: c.replicaSet.View, Address: self, Logger: c.log,
		Retired: func(queue queuekey.Key, ended configuration.Tenure) bool { return c.jobManager.IsVacant(queue, ended) },
	})
	c.configurator.Mount(c.mux)
}

func (c *Coordinator) assembleJobs(self string) error {
	bounds := &c.settings.Bounds
	c.jobManager = manager.New(manager.Config{
		HTTP: c.workerHTTP, Connections: c.workerConnections, Log: c.log,
		Queues: c.configurator, Caller: c.caller, Leaders: func() map[string]feed.Leader { return c.replicationNode.Leaders() },
		Settings: scheduler.Settings{
			RemoteSlowdown: bounds.RemoteSlowdownFactor, MaxStopDuration: bounds.MaxStopDuration, RestoreDuration: bounds.RestoreDuration,
			MaxLease: bounds.MaxLease, MinDrainDuration: bounds.DrainDuration, StatusRetention: bounds.StatusRetention + endedJobRetentionMargin,
		},
	})
	var err error
	c.replicationNode, err = replication.NewNode(replication.Config{
		Self: self, Store: c.store, Caller: c.caller, View: c.replicaSet.View, Ready: c.rebuilder.Ready,
		Handler: c.jobManager, Log: c.log, Timing: replication.DefaultTiming,
	})
	if err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	c.replicationNode.Serve(c.mux)
	c.jobManager.Serve(c.mux)
	c.jobManager.ServeOperatorCalls(c.mux)
	return nil
}

func (c *Coordinator) assembleFeed(self string) {
	c.feedServer = feedserver.New(feedserver.Options{
		Caller: c.caller, Address: self, Logger: c.log,
		Sources: feedserver.Sources{
			Configuration: c.configurator.Current,
			Leaders:       c.replicationNode.Leaders,
			Coordinators:  func() []string { return c.replicaSet.View().Members },
			InContact:     c.isCurrent,
			ChangeSignals: []func() <-chan struct{}{c.configurator.Changed, c.replicationNode.LeadersChanged, c.replicaSet.Changed},
		},
	})
	c.feedServer.Mount(c.mux)
}
