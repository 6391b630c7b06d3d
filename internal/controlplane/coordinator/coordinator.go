// Package coordinator puts a core node together: the durable store, the replicated control state, the operator's API,
// the feed for the data plane, and the schedulers of the groups that this node leads.
package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/inventory"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	configurationRegister = "configuration"
	commandsByInvocation  = "invocation" // value of the settings key commands

	inventoryPollInterval = time.Second     // between two readings of the platform's list
	completedJobMargin    = 3 * time.Minute // ended jobs are known for longer than clients ask
	registerTables        = register.TablePrefix
)

// errStoreFailed ends a process whose disk failed to sync: started again, it reads what the disk holds.
var errStoreFailed = errors.New("the store has failed; see the disk of the data directory")

// Listeners are the sockets that a coordinator serves. Run closes them.
type Listeners struct {
	Internal net.Listener // calls of other nodes
	Control  net.Listener // the operator's API
}

// Coordinator is one core node.
type Coordinator struct {
	settings     nodesettings.Settings
	log          *zap.Logger
	caller       *transport.Client
	store        *storage.FileStore
	replicas     *replicaset.Manager
	rebuilder    *rebuild.Rebuilder
	node         *replication.Node
	configurator *configuration.Configurator
	feed         *feedserver.Server
	jobs         *manager.Manager
	workers      *workerclient.Connections
	workerHTTP   *http.Client // to workers, within that budget
	platformHTTP *http.Client
	mux          *transport.Mux
}

// New opens the store and makes the parts of a coordinator.
func New(settings nodesettings.Settings, log *zap.Logger) (*Coordinator, error) {
	if settings.DataDirectory == "" {
		return nil, errors.New("dataDirectory: missing: a coordinator needs a disk; run it on a class of machines that has one")
	}
	store, opened, err := storage.Open(storage.OperatingSystem{}, settings.DataDirectory, storeOptions(settings.Limits))
	if err != nil {
		return nil, fmt.Errorf("open the store in %s: %w", settings.DataDirectory, err)
	}
	log.Info("store opened", zap.Any("opened", opened))
	c := &Coordinator{
		settings: settings, log: log, store: store, caller: transport.NewClientFor(settings.Cluster),
		workers: workerclient.NewConnections(workerLimits(&settings.Limits)), platformHTTP: newPlatformClient(),
		mux: transport.NewMuxFor(transport.NewIdentity(settings.Cluster, settings.NodeName)),
	}
	c.workerHTTP = c.workers.HTTPClient()
	if err := c.assemble(); err != nil {
		store.Close()
		return nil, err
	}
	return c, nil
}

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

// contacts tells how long the other members have been silent.
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

// isCurrent tells whether what this node tells others is of late: a majority has answered its pings, and has confirmed the
// configuration. Pings may be answered where quorum reads fail, as when members are being rebuilt or know another view.
func (c *Coordinator) isCurrent() bool {
	return c.node.InContact() && c.configurator.Fresh(configuration.FreshAge)
}

func (c *Coordinator) adoptView(view replicaset.View) {
	if err := c.replicas.Learn(view); err != nil {
		c.log.Warn("view of the replicas not taken", zap.Error(err))
	}
}

func (c *Coordinator) assembleJobs(self string) error {
	bounds := &c.settings.Bounds
	c.jobs = manager.New(manager.Config{
		HTTP: c.workerHTTP, Connections: c.workers, Log: c.log,
		Settings: scheduler.Settings{
			RemoteFactor: bounds.FarFactor, StopTime: bounds.Stop, RestoreTime: bounds.Restore,
			MaxLease: bounds.HoldMax, DrainTime: bounds.Drain, StatusRetention: bounds.Status + completedJobMargin,
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
	c.jobs.ServeReports(c.mux)
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
			Changed:       []func() <-chan struct{}{c.configurator.Changed, c.node.Changed, c.replicas.Changed},
		},
	})
	c.feed.Mount(c.mux)
}

// Run serves until the context ends or the store fails.
func (c *Coordinator) Run(ctx context.Context, listeners Listeners) error {
	if c.settings.Commands != commandsByInvocation {
		c.log.Error("commands: only commands=invocation is supported, searchers are called all the same",
			zap.String("commands", c.settings.Commands))
	}
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	internal := &http.Server{Handler: c.mux, ErrorLog: zap.NewStdLog(c.log), ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: idleTimeout}
	operator := control.NewServer(c.operations(control.New(lifetime, c.configurator, c.log)), c.log)
	budget := c.settings.Limits.ConnectionBudget()
	bounded := boundListeners(listeners, budget, internal, operator)
	failures := make(chan error, 1)
	report := func(part string, err error) {
		if err != nil && lifetime.Err() == nil {
			select {
			case failures <- fmt.Errorf("%s: %w", part, err):
			default:
			}
		}
	}
	go func() { report("internal calls", internal.Serve(bounded.Internal)) }()
	go func() { report("operator's API", operator.Serve(bounded.Control)) }()
	go func() { report("replica set", c.replicas.Run(lifetime)) }()
	go func() { report("rebuild", c.rebuilder.Run(lifetime)) }()
	go func() { report("replica set", c.rebuilder.Watch(lifetime)) }()
	go c.configurator.Run(lifetime)
	go c.feed.Run(lifetime)
	go c.ensureGroups(lifetime)
	go c.readInventory(lifetime)
	leading, resign := context.WithCancel(lifetime)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		c.node.Run(leading)
	}()
	err := c.waitForStop(ctx, failures)
	c.handOver(lifetime, err == nil)
	resign()
	<-resigned
	c.jobs.Stop()
	c.shutDown(internal, operator)
	end()
	return errors.Join(err, c.store.Close())
}

// ensureGroups makes a replication group for each service of the configuration.
func (c *Coordinator) ensureGroups(ctx context.Context) {
	for {
		changed := c.configurator.Changed()
		if _, body := c.configurator.Current(); len(body) > 0 {
			c.ensureServices(body)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Coordinator) ensureServices(body []byte) {
	parsed, err := configuration.Parse(body)
	if err != nil {
		c.log.Error("configuration in force cannot be read", zap.Error(err))
		return
	}
	for _, service := range parsed.Services {
		c.node.Ensure(feed.GroupOf(service.Name))
	}
}

// readInventory reads the platform's list while this node leads a group.
func (c *Coordinator) readInventory(ctx context.Context) {
	reader := inventory.Reader{
		Address: c.settings.CloudAPI.Address, RatePerSecond: c.settings.CloudAPI.RatePerS, HTTP: c.platformHTTP, Log: c.log,
		OnPage: c.jobs.AddInventoryPage,
	}
	for ctx.Err() == nil {
		leading, changed := c.jobs.Leading()
		if !leading {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		c.readWhileLeading(ctx, &reader)
	}
}

func (c *Coordinator) readWhileLeading(ctx context.Context, reader *inventory.Reader) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for {
			leading, changed := c.jobs.Leading()
			if !leading {
				stop()
				return
			}
			select {
			case <-reading.Done():
				return
			case <-changed:
			}
		}
	}()
	reader.Run(reading, inventoryPollInterval, c.jobs.SetInventory)
}
