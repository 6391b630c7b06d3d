// Package node assembles an aggregator process.
//
// It reads the configuration, creates the actors and connects their queues, and starts and stops them in a fixed order. The
// aggregator command runs one Node, and tests may run several in one process. The package handles no queries itself.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/aggregatorstore"
	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/membership"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/quota"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/counters"
	"puffinlink.example/puffinlink/internal/dataplane/aggregator"
	"puffinlink.example/puffinlink/internal/dataplane/backends"
	"puffinlink.example/puffinlink/internal/dataplane/clients"
	"puffinlink.example/puffinlink/internal/dataplane/discovery"
	"puffinlink.example/puffinlink/internal/dataplane/settings"
	"puffinlink.example/puffinlink/internal/operators/api"
	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/internal/operators/controller"
	"puffinlink.example/puffinlink/internal/operators/operatorfile"
)

const (
	// clientConnectionShare is the share of the descriptors for connections of clients.
	clientConnectionShare = 0.6
	// backendConnectionShare is the share of the descriptors for connections to backends. The descriptors that neither share
	// covers are for the registry, the listeners, the log, the store and the Go runtime.
	backendConnectionShare = 0.3
	// addressTimeout is how long Start waits while the previous process still uses the address: the longest time that a stopping
	// aggregator takes.
	addressTimeout = 10 * time.Second
)

// Config is the content of an aggregator's configuration file.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Read reads the configuration file that LB_CONFIG names, and validates it. The environment variables LB_NAME, LB_LISTEN and
// LB_DISCOVERY override its fields.
func Read(env func(string) string) (c Config, aggregatorSettings settings.Settings, err error) {
	path := os.Getenv("LB_CONFIG")
	if path == "" {
		return c, aggregatorSettings, errNoConfig
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, aggregatorSettings, err
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, aggregatorSettings, fmt.Errorf("config: %w", err)
	}
	for name, field := range map[string]*string{"LB_NAME": &c.Name, "LB_LISTEN": &c.Listen, "LB_DISCOVERY": &c.Discovery} {
		if v := env(name); v != "" {
			*field = v
		}
	}
	aggregatorSettings, err = c.Check()
	return c, aggregatorSettings, err
}

// Check validates the configuration and returns its settings.
func (c *Config) Check() (aggregatorSettings settings.Settings, err error) {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	switch {
	case err != nil:
		return aggregatorSettings, invalid("config: seed %q is not hex", c.Seed)
	case c.Listen == "" || c.Discovery == "":
		return aggregatorSettings, invalid("config: listen and discovery must be stated")
	case len(c.Known) == 0:
		return aggregatorSettings, invalid("config: known must be stated")
	case c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return aggregatorSettings, invalid("config: limits must be 0 or more")
	}
	if aggregatorSettings, err = settings.Read(seed, c.Settings); err != nil {
		return aggregatorSettings, fmt.Errorf("config: %w", err)
	}
	for i, x := range aggregatorSettings.Indexes {
		if x.SecondStep > 0 {
			return aggregatorSettings, invalid("config: index %q has a second step, which this protocol has no form for", aggregatorSettings.Net.Indexes[i])
		}
	}
	return aggregatorSettings, nil
}

// connectionLimits returns the limits of connections of clients and to backends, and the memory limit in bytes. A limit that is not
// configured is math.MaxInt32.
func (c *Config) connectionLimits() (clientConnections, backendConnections, memory int) {
	clientConnections, backendConnections, memory = math.MaxInt32, math.MaxInt32, math.MaxInt32
	if c.Limits.MemoryMB > 0 {
		memory = int(c.Limits.MemoryMB * (1 << 20))
	}
	if c.Limits.Sockets > 0 {
		clientConnections = max(1, int(clientConnectionShare*float64(c.Limits.Sockets)))
		backendConnections = max(1, int(backendConnectionShare*float64(c.Limits.Sockets)))
	}
	return clientConnections, backendConnections, memory
}

// listen opens a listener. It retries for addressTimeout while the address is in use, as a restart may overlap with the end of the
// previous process.
func listen(ctx context.Context, address *net.TCPAddr) (l *net.TCPListener, err error) {
	for until := time.Now().Add(addressTimeout); ; {
		l, err = net.ListenTCP("tcp", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return l, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(addressTimeout / 100):
		}
	}
}

// StartText starts an aggregator from the text of a configuration file. See Start for the context.
func StartText(ctx context.Context, text []byte, file operatorfile.File, logger *zap.Logger, counterSet *counters.Set) (*Node, error) {
	var c Config
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	aggregatorSettings, err := c.Check()
	if err != nil {
		return nil, err
	}
	return Start(ctx, c, aggregatorSettings, file, logger, counterSet)
}

// Node is a running aggregator.
type Node struct {
	logger     *zap.Logger
	counters   *counters.Set
	aggregator *aggregator.Aggregator
	discovery  *discovery.Client
	hub        *backends.Hub
	server     *clients.Server
	fleet      *fleet.Fleet           // nil if the operator's file turns the fleet off
	controller *controller.Controller // nil if the operator's file has neither overrides nor a listener
	store      *aggregatorstore.OverrideStore
	operators  *api.Server
	captures   *capture.Writer
	drained    chan struct{}
	drain      func()
}

// Start starts an aggregator with a configuration and the features of the operator's file. It serves from the backends that the
// configuration lists until the registry reports others. Canceling the context stops the wait for the listen address;
// it has no effect once Start has returned.
func Start(ctx context.Context, c Config, aggregatorSettings settings.Settings, file operatorfile.File, logger *zap.Logger, counterSet *counters.Set) (n *Node, err error) {
	clientConnections, backendConnections, memory := c.connectionLimits()
	n = &Node{logger: logger, counters: counterSet, drained: make(chan struct{})}
	n.aggregator = aggregator.New(aggregatorSettings, logger, counterSet)
	if file.Capture.Directory != "" {
		if err := n.startCapture(c.Name, aggregatorSettings, file.Capture); err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
	}
	if file.Fleet.On {
		if err := n.joinFleet(c, aggregatorSettings, file); err != nil {
			return nil, err
		}
	}
	events := discovery.Listener(n.aggregator.Inbox)
	if file.Overrides.On || file.Operators.Listen != "" {
		n.openController(aggregatorSettings, file)
		events = n.controller
	}
	if n.discovery, err = discovery.New(c.Discovery, c.Known, aggregatorSettings, events, logger, counterSet); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if n.controller != nil {
		n.controller.ProcessPending()
	}
	address, err := net.ResolveTCPAddr("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("config: listen: %w", err)
	}
	operatorsListener, err := n.openOperators(c.Name, file.Operators)
	if err != nil {
		return nil, fmt.Errorf("operators: %w", err)
	}
	listener, err := listen(ctx, address)
	if err != nil {
		return nil, err
	}
	n.hub = backends.New(aggregatorSettings.Net, backendConnections, n.aggregator.Inbox, logger, counterSet)
	n.server = clients.New(aggregatorSettings, clientConnections, memory, n.aggregator.Inbox, logger, counterSet)
	n.drain = sync.OnceFunc(func() {
		if n.fleet != nil {
			go n.fleet.Release() // lets the next process of this node start
		}
		go func() { n.server.Drain(); close(n.drained) }()
	})
	if n.fleet != nil {
		go n.fleet.Run()
	}
	go n.aggregator.Run(n.hub, n.discovery)
	if n.controller != nil {
		go n.controller.Run()
	}
	go n.discovery.Run() //nolint:contextcheck // the context applies to the start only, and the watches run until Stop
	n.server.Serve(listener)
	if n.operators != nil {
		go n.operators.Serve(operatorsListener)
	}
	logger.Info("started", zap.String("listen", c.Listen))
	return n, nil
}

// openOperators creates the operators' server and returns its listener, which is nil if the operator's file has none.
func (n *Node) openOperators(name string, file operatorfile.Operators) (net.Listener, error) {
	if file.Listen == "" {
		return nil, nil
	}
	var err error
	if n.operators, err = api.New(name, file, n.controller, n.fleet, n.logger, n.counters); err != nil {
		return nil, err
	}
	return api.Listen(file.Listen)
}

// openController creates the controller and restores the stored overrides. If the store can't be opened, the aggregator serves
// queries but rejects commands: overrides would be lost at the end of the process, although operators expect them to persist.
func (n *Node) openController(aggregatorSettings settings.Settings, file operatorfile.File) {
	limits := file.Overrides.Limits
	limits.Indexes, limits.Shards, limits.Cells, limits.Width = aggregatorSettings.Net.Indexes, aggregatorSettings.Net.Shards, aggregatorSettings.Layout.Cells, aggregatorSettings.Layout.Width
	var contents aggregatorstore.OverrideContents
	store, directory := controller.Store(nil), ""
	if dir := file.Overrides.Directory; dir != "" {
		var err error
		if n.store, contents, err = aggregatorstore.OpenOverrides(dir, n.logger); err != nil {
			n.logger.Error("override store unavailable; commands are rejected", zap.String("text", err.Error()))
		}
		store, directory = n.store, dir
	}
	n.controller = controller.New(limits, n.aggregator.Inbox, store, directory, n.logger, n.counters)
	n.controller.Restore(contents.Revision, contents.Active, contents.Recent)
}

// joinFleet makes the aggregator a member of a fleet, which then decides on the admission of its queries.
func (n *Node) joinFleet(c Config, aggregatorSettings settings.Settings, file operatorfile.File) error {
	key, err := operatorfile.ReadKey(file.Fleet.KeyFile)
	if err != nil {
		return fmt.Errorf("fleet.key_file: %w", err)
	}
	fleetSettings := fleet.Settings{Self: membership.Name(c.Name), Membership: file.Fleet.Roster(), Key: [operatorfile.KeyBytes]byte(key), Directory: file.Fleet.Directory,
		Lease: file.Fleet.Lease, Layout: aggregatorSettings.Layout, Seed: aggregatorSettings.Seed, HasQuotas: file.Quotas.On, Strict: file.Contracts.Strict,
		Names: residency.KnownNames{Zones: aggregatorSettings.Net.Locations, Indexes: aggregatorSettings.Net.Indexes, Tenants: aggregatorSettings.Net.Customers},
		Lines: map[string]int{fleet.LineFleet: file.Fleet.Line, fleet.LineStrict: file.Contracts.Line}}
	if location := int(aggregatorSettings.Location); location < len(aggregatorSettings.Net.Locations) {
		fleetSettings.Location = aggregatorSettings.Net.Locations[location]
	}
	for _, index := range aggregatorSettings.Indexes {
		fleetSettings.MaxDeadline = max(fleetSettings.MaxDeadline, index.Hard)
	}
	fleetSettings.FileTables.ContractsVersion, fleetSettings.FileTables.QuotasVersion = file.Contracts.Version, file.Quotas.Version
	for _, t := range file.Contracts.Tenants {
		tenant := residency.Tenant(t.Tenant)
		if fleetSettings.FileTables.Contracts == nil {
			fleetSettings.FileTables.Contracts = map[residency.Tenant]residency.Contract{}
		}
		fleetSettings.FileTables.Contracts[tenant] = residency.Contract{Zones: t.Zones, RestrictsAggregators: t.RestrictsAggregators, Indexes: t.Indexes}
		fleetSettings.Lines[fleet.ContractLine(tenant)] = t.Line
	}
	for _, t := range file.Quotas.Tenants {
		tenant := quota.Tenant(t.Tenant)
		if fleetSettings.FileTables.Quotas == nil {
			fleetSettings.FileTables.Quotas = map[quota.Tenant]quota.Quota{}
		}
		fleetSettings.FileTables.Quotas[tenant] = t.Quota()
		fleetSettings.Lines[fleet.QuotaLine(tenant)] = t.Line
	}
	if n.fleet, err = fleet.New(fleetSettings, n.aggregator.Inbox, n.logger, n.counters); err != nil {
		return err
	}
	n.aggregator.SetAdmission(n.fleet)
	return nil
}

// startCapture makes the aggregator record its load in capture files.
func (n *Node) startCapture(name string, aggregatorSettings settings.Settings, file operatorfile.Capture) (err error) {
	n.captures, err = capture.NewWriter(capture.StoreConfig{Directory: file.Directory, MaxBytes: file.MaxBytes,
		MaxAge: time.Duration(file.MaxAge * float64(time.Second))}, n.logger, n.counters)
	if err != nil {
		return err
	}
	names := capture.Names{Indexes: aggregatorSettings.Net.Indexes, Customers: aggregatorSettings.Net.Customers, Shards: aggregatorSettings.Net.Shards}
	for _, x := range aggregatorSettings.Indexes {
		names.SoftDeadlines = append(names.SoftDeadlines, x.Soft)
	}
	n.aggregator.Capture(capture.New(name, names, file.Interval), n.captures.Put)
	return nil
}

// Reload applies the part of a configuration that may change at run time: the registry's address.
func (n *Node) Reload(c Config) error {
	if err := n.discovery.MoveTo(c.Discovery); err != nil {
		return fmt.Errorf("config: discovery: %w", err)
	}
	return nil
}

// Drain starts the graceful shutdown. The returned channel is closed once all queries are answered. Until then the aggregator
// keeps applying drains of backends. Further calls return the same channel.
func (n *Node) Drain() <-chan struct{} {
	n.drain()
	return n.drained
}

// Drained returns the channel that Drain returns, without starting the shutdown.
func (n *Node) Drained() <-chan struct{} { return n.drained }

// Counters returns the aggregator's counters.
func (n *Node) Counters() *counters.Set { return n.counters }

// Stop drains the aggregator, unless it has drained already, and then stops all actors.
func (n *Node) Stop() {
	<-n.Drain()
	if n.operators != nil {
		n.operators.Stop()
	}
	n.discovery.Stop()
	if n.controller != nil {
		n.controller.Stop()
	}
	if n.store != nil {
		n.store.Stop()
	}
	n.aggregator.Stop()
	n.hub.Stop()
	if n.fleet != nil {
		n.fleet.Stop()
	}
	if n.captures != nil {
		n.captures.Stop()
	}
}
