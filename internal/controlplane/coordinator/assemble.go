package coordinator

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
)

// assemble makes the components in the order in which each one needs those before it.
func (c *Coordinator) assemble() error {
	self := c.settings.InternalAddress(0)
	if err := c.assembleReplicaSet(self); err != nil {
		return err
	}
	var err error
	c.rebuilder, err = rebuild.New(rebuild.Config{
		Self: self, Incarnation: c.replicas.Incarnation(), FirstStart: c.settings.FirstStart, Views: c.replicas,
		Store: c.store, Caller: c.caller, Logger: c.log,
	})
	if err != nil {
		return fmt.Errorf("rebuild: %w", err)
	}
	c.assembleConfiguration(self)
	if err := c.assembleJobs(self); err != nil {
		return err
	}
	c.rebuilder.Register(register.Merge, registerTables)
	c.rebuilder.Register(rebuild.Infallible(replication.MergeTables), replication.StateTablePrefix, replication.MetaTablePrefix)
	c.rebuilder.Serve(c.mux)
	c.assembleFeed(self)
	return nil
}

func (c *Coordinator) assembleReplicaSet(self string) error {
	ready := func() bool { return c.rebuilder.Ready() }
	founding := register.NewFounding(register.FoundingConfig{
		Self: self, Store: c.store, Ready: ready, Caller: c.caller,
		Founders: func() []string { return c.replicas.Founders() },
	})
	succession := register.NewSuccession(register.SuccessionConfig{
		Self: self, Store: c.store, Ready: ready, Caller: c.caller,
		View:      func() replicaset.View { return c.replicas.View() },
		Departing: func() bool { return c.replicas.Departing() },
	})
	var err error
	c.replicas, err = replicaset.NewManager(replicaset.Config{
		Self: self, Zone: c.settings.Zone, Seeds: c.settings.SeedInternalAddresses(), FirstStart: c.settings.FirstStart,
		CountsForQuorum: true, Store: c.store, Caller: c.caller, Logger: c.log,
		Founding: founding, Succession: succession, Liveness: c.contacts,
	})
	if err != nil {
		return fmt.Errorf("replica set: %w", err)
	}
	founding.Serve(c.mux)
	succession.Serve(c.mux)
	c.replicas.Serve(c.mux)
	return nil
}

// contacts tells how long ago the other members were last heard from.
func (c *Coordinator) contacts() replicaset.Liveness {
	contacts := replicaset.Liveness{QuorumReachable: c.node.InContact(), SinceContact: make(map[string]time.Duration)}
	for _, member := range c.node.Members() {
		if member.Contacted {
			contacts.SinceContact[member.Address] = member.SinceContact
		}
	}
	return contacts
}

func (c *Coordinator) assembleConfiguration(self string) {
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: configurationRegister, Store: c.store, Ready: c.rebuilder.Ready, View: c.replicas.View,
	})
	acceptor.Serve(c.mux)
	replicated := register.New(register.Config{
		Name: configurationRegister, Self: self, Acceptor: acceptor, View: c.replicas.View, Caller: c.caller,
		OnNewerView: func(view replicaset.View) { c.adoptView(view) },
	})
	c.configurator = configuration.New(configuration.Options{
		Register: replicated, Caller: c.caller, Members: c.replicas.View, Address: self, Logger: c.log,
	})
	c.configurator.Mount(c.mux)
}

func (c *Coordinator) assembleJobs(self string) error {
	bounds := &c.settings.Bounds
	c.jobs = manager.New(manager.Config{
		HTTP: c.workerHTTP, Connections: c.workers, Log: c.log,
		Settings: scheduler.Settings{
			RemoteSlowdown: bounds.FarFactor, MaxStopDuration: bounds.Stop, RestoreDuration: bounds.Restore,
			MaxLease: bounds.HoldMax, MinDrainDuration: bounds.Drain, StatusRetention: bounds.Status + completedJobMargin,
		},
	})
	var err error
	c.node, err = replication.NewNode(replication.Config{
		Self: self, Store: c.store, Caller: c.caller, View: c.replicas.View, Ready: c.rebuilder.Ready,
		Handler: c.jobs, Log: c.log, Timing: replication.DefaultTiming,
	})
	if err != nil {
		return fmt.Errorf("replication: %w", err)
	}
	c.node.Serve(c.mux)
	c.jobs.Serve(c.mux)
	c.jobs.ServeOperatorCalls(c.mux)
	return nil
}

func (c *Coordinator) assembleFeed(self string) {
	c.feed = feedserver.New(feedserver.Options{
		Caller: c.caller, Address: self, Logger: c.log,
		Sources: feedserver.Sources{
			Configuration: c.configurator.Current,
			Leaders:       c.node.Leaders,
			Core:          func() []string { return c.replicas.View().Members },
			InContact:     c.isCurrent,
			Changed:       []func() <-chan struct{}{c.configurator.Changed, c.node.LeadersChanged, c.replicas.Changed},
		},
	})
	c.feed.Mount(c.mux)
}
