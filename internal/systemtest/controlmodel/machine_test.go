package controlmodel

import (
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/feedserver"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replication"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/dataplane/agent"
	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/dataplane/proxy/routing"
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	service  = "x"
	maxLease = 6 * time.Second
)

var group = feed.GroupOf(service)

// machine is a simulated machine with one process: a coordinator, an agent, or the clients.
type machine struct {
	simulation *simulation
	address    string
	disk       *storage.Memory // nil except on coordinators

	mutex          sync.Mutex
	incarnation    int // number of the current process
	isUp           bool
	hasFault       bool            // a fault has reserved the machine
	pausedAt       time.Time       // start of the last pause
	pausedUntil    time.Time       // end of the last pause
	writeDelay     time.Duration   // additional duration of each write
	processorQuota *processorQuota // nil if the process may use a full core
	handler        http.Handler    // handler of internal calls
	stop           context.CancelFunc
	tasks          *sync.WaitGroup

	register        *register.Register
	configurator    *configuration.Configurator
	operatorHandler http.Handler
	node            *replication.Node
	jobs            *manager.Manager
	agent           *agent.Agent
	front           http.Handler // of clients' requests; nil on machines without a proxy
}

func (m *machine) currentAgent() *agent.Agent {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.agent
}

func (m *machine) running() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isUp
}

// isCurrent reports whether the process with that number is the current one and is running.
func (m *machine) isCurrent(incarnation int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.isUp && m.incarnation == incarnation
}

func (m *machine) internalHandler() http.Handler {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.handler
}

// awaitResume uses the processor time of one message or write, waits while the process is paused, and returns its number.
func (m *machine) awaitResume() (incarnation int) {
	m.useProcessor(messageProcessorTime)
	for {
		m.mutex.Lock()
		incarnation = m.incarnation
		remaining := time.Until(m.pausedUntil)
		m.mutex.Unlock()
		if remaining <= 0 {
			return incarnation
		}
		<-time.After(remaining)
	}
}

func (m *machine) pause(length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.pausedAt, m.pausedUntil = time.Now(), time.Now().Add(length)
}

// Now implements replication.Clock. The clock stops while the process is paused, and jumps to the current time afterwards.
func (m *machine) Now() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if now.Before(m.pausedUntil) {
		now = m.pausedAt
	}
	return now.Sub(m.simulation.startedAt)
}

func (m *machine) setWriteDelay(delay time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.writeDelay = delay
}

// writeDuration returns the duration of a write.
func (m *machine) writeDuration() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return 2*time.Millisecond + m.writeDelay
}

// processDisk is the disk of one process. Its writes take time, and fail once the process has ended. The register's acceptor does
// not use it, because the acceptor writes while it holds a lock, and virtual time does not advance while a goroutine waits for a
// lock. Its writes take no time; instead, deliver delays its answers by the duration of a write.
type processDisk struct {
	*storage.Memory
	machine     *machine
	incarnation int
}

// Write implements storage.Store.
func (s processDisk) Write(changes ...storage.Change) error {
	s.machine.awaitResume()
	<-time.After(s.machine.writeDuration())
	if !s.machine.isCurrent(s.incarnation) {
		return errDown
	}
	err := s.Memory.Write(changes...)
	s.machine.awaitResume()
	return err
}

// startCoordinator starts a coordinator with the machine's disk.
func (m *machine) startCoordinator() {
	ctx, end := context.WithCancel(context.Background())
	m.mutex.Lock()
	m.incarnation++
	incarnation := m.incarnation
	m.mutex.Unlock()
	s := m.simulation
	caller := endpoint{s.network, m, incarnation}
	view := func() replicaset.View { return s.membership }
	ready := func() bool { return true }
	disk := processDisk{m.disk, m, incarnation}
	mux := transport.NewMux()
	acceptor := register.NewAcceptor(register.AcceptorConfig{Name: "configuration", Store: m.disk, Ready: ready, View: view})
	acceptor.Serve(mux)
	proposer := register.New(register.Config{Name: "configuration", Self: m.address, Acceptor: acceptor, View: view, Caller: caller})
	configurator := configuration.New(configuration.Options{
		Register: proposer, Caller: caller, Members: view, Address: m.address, Logger: zap.NewNop(),
	})
	configurator.Mount(mux)
	var node *replication.Node
	jobs := manager.New(manager.Config{
		Queues: configurator, Caller: caller, Leaders: func() map[string]feed.Leader { return node.Leaders() },
		HTTP: &http.Client{Transport: &workerTransport{s, m, incarnation}}, Log: zap.NewNop(),
		Settings: scheduler.Settings{
			RemoteSlowdown: 2, MaxStopDuration: 400 * time.Millisecond, RestoreDuration: 200 * time.Millisecond,
			MaxLease: maxLease, MinDrainDuration: 3 * time.Second, StatusRetention: time.Hour,
		},
	})
	jobs.SetInventory(s.workerInstances)
	var err error
	node, err = replication.NewNode(replication.Config{
		Self: m.address, Store: disk, Caller: caller, View: view, Ready: ready, Handler: &electionObserver{jobs, s.checker, m.address}, Clock: m,
	})
	if err != nil {
		panic(err)
	}
	node.Serve(mux)
	jobs.Serve(mux)
	server := feedserver.New(feedserver.Options{
		Caller: caller, Address: m.address, Logger: zap.NewNop(),
		Sources: feedserver.Sources{
			Configuration: configurator.Current, Leaders: node.Leaders, Coordinators: func() []string { return s.membership.Members },
			InContact:     func() bool { return node.InContact() && configurator.Fresh(configuration.MaxFreshAge) },
			ChangeSignals: []func() <-chan struct{}{configurator.Changed, node.LeadersChanged},
		},
	})
	server.Mount(mux)
	tasks := new(sync.WaitGroup)
	tasks.Go(func() { configurator.Run(ctx) })
	tasks.Go(func() { server.Run(ctx) })
	tasks.Go(func() { node.Run(ctx) })
	tasks.Go(func() { jobs.ReleaseMovedQueues(ctx) })
	tasks.Go(func() { ensureGroups(ctx, configurator, node) })
	node.Ensure(group)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.handler, m.operatorHandler, m.configurator = mux, control.New(ctx, configurator, zap.NewNop()), configurator
	m.register, m.node, m.jobs, m.isUp, m.stop, m.tasks = proposer, node, jobs, true, end, tasks
}

// ensureGroups creates a replication group for each service of the configuration, and for each one that had a queue before.
func ensureGroups(ctx context.Context, configurator *configuration.Configurator, node *replication.Node) {
	for {
		changed := configurator.Changed()
		for _, service := range configurator.Queues().Services() {
			node.Ensure(feed.GroupOf(service))
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (m *machine) startAgent() {
	ctx, end := context.WithCancel(context.Background())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.incarnation++
	caller := endpoint{m.simulation.network, m, m.incarnation}
	m.agent = agent.New(agent.Config{Address: m.address, Seeds: m.simulation.membership.Members, Caller: caller, Logger: zap.NewNop()})
	mux := transport.NewMux()
	m.agent.Mount(mux)
	m.agent.MountLocal(mux)
	m.handler, m.isUp, m.stop, m.tasks = mux, true, end, new(sync.WaitGroup)
	m.tasks.Go(func() { m.agent.Run(ctx) })
}

// startFront starts an agent and the proxy beside it.
func (m *machine) startFront() {
	m.startAgent()
	ctx, end := context.WithCancel(context.Background())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	front := proxy.New(proxy.Config{
		AgentAddress: m.address, Caller: endpoint{m.simulation.network, m, m.incarnation}, BuildRouter: routing.Build,
		GracePeriod: time.Second, MaxBodyBytes: 1 << 20, MaxConnections: 100, Log: zap.NewNop(),
	})
	m.front = front.Handler()
	m.tasks.Go(func() { front.Follow(ctx) })
	stopAgent := m.stop
	m.stop = func() { stopAgent(); end() }
}

// kill ends the process at once. After that it sends no messages and writes nothing to its disk.
func (m *machine) kill() {
	m.mutex.Lock()
	m.isUp, m.pausedUntil = false, time.Time{}
	end, tasks, jobs := m.stop, m.tasks, m.jobs
	m.mutex.Unlock()
	end()
	tasks.Wait()
	if jobs != nil {
		jobs.Stop()
	}
}
