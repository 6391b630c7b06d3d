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
	"puffinlink.example/puffinlink/internal/jobs/manager"
	"puffinlink.example/puffinlink/internal/jobs/scheduler"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	service = "x"
	holdMax = 6 * time.Second
)

var group = feed.GroupOf(service)

// machine is a core node or an agent, with one process.
type machine struct {
	world   *world
	address string
	disk    *storage.Memory // nil at an agent

	mutex   sync.Mutex
	life    int // number of the present process
	up      bool
	taken   bool          // some trouble has it
	froze   time.Time     // it has stood still since then
	thaws   time.Time     // and will until then
	stalled time.Duration // that each write takes
	handler http.Handler  // of internal calls
	end     context.CancelFunc
	tasks   *sync.WaitGroup

	register     *register.Register
	configurator *configuration.Configurator
	operator     http.Handler
	node         *replication.Node
	jobs         *manager.Manager
	agent        *agent.Agent
}

func (m *machine) agentNow() *agent.Agent {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.agent
}

func (m *machine) running() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.up
}

// lives tells whether the process of that number is the present one.
func (m *machine) lives(life int) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.up && m.life == life
}

func (m *machine) mux() http.Handler {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.handler
}

// standStill waits while the process stands still, and returns its number.
func (m *machine) standStill() (life int) {
	for {
		m.mutex.Lock()
		life = m.life
		left := time.Until(m.thaws)
		m.mutex.Unlock()
		if left <= 0 {
			return life
		}
		<-time.After(left)
	}
}

func (m *machine) freeze(length time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.froze, m.thaws = time.Now(), time.Now().Add(length)
}

// Now implements replication.Clock. A process that stands still sees no time pass, and then a leap.
func (m *machine) Now() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := time.Now()
	if now.Before(m.thaws) {
		now = m.froze
	}
	return now.Sub(m.world.begin)
}

func (m *machine) stall(each time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stalled = each
}

// diskTime is how long a write takes.
func (m *machine) diskTime() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return 2*time.Millisecond + m.stalled
}

// store is a process's disk, whose writes take time and end with the process. The register's acceptor writes under a lock, and
// virtual time stands still while anyone waits for a lock; its writes take no time, and its answers wait for the disk instead.
type store struct {
	*storage.Memory
	machine *machine
	life    int
}

// Write implements storage.Store.
func (s store) Write(changes ...storage.Change) error {
	s.machine.standStill()
	<-time.After(s.machine.diskTime())
	if !s.machine.lives(s.life) {
		return errDown
	}
	err := s.Memory.Write(changes...)
	s.machine.standStill()
	return err
}

// startCore starts a core node on the disk that the machine has.
func (m *machine) startCore() {
	ctx, end := context.WithCancel(context.Background())
	m.mutex.Lock()
	m.life++
	life := m.life
	m.mutex.Unlock()
	w := m.world
	caller := endpoint{w.network, m, life}
	view := func() replicaset.View { return w.view }
	ready := func() bool { return true }
	disk := store{m.disk, m, life}
	mux := transport.NewMux()
	acceptor := register.NewAcceptor(register.AcceptorConfig{Name: "configuration", Store: m.disk, Ready: ready, View: view})
	acceptor.Serve(mux)
	proposer := register.New(register.Config{Name: "configuration", Self: m.address, Acceptor: acceptor, View: view, Caller: caller})
	configurator := configuration.New(configuration.Options{
		Register: proposer, Caller: caller, Members: view, Address: m.address, Logger: zap.NewNop(),
	})
	configurator.Mount(mux)
	jobs := manager.New(manager.Config{
		HTTP: &http.Client{Transport: &orders{w, m, life}}, Log: zap.NewNop(),
		Settings: scheduler.Settings{
			RemoteFactor: 2, StopTime: 400 * time.Millisecond, RestoreTime: 200 * time.Millisecond,
			MaxLease: holdMax, DrainTime: 3 * time.Second, StatusRetention: time.Hour,
		},
	})
	jobs.SetInventory(w.instances)
	node, err := replication.NewNode(replication.Config{
		Self: m.address, Store: disk, Caller: caller, View: view, Ready: ready, Handler: &witness{jobs, w.judge, m.address}, Clock: m,
	})
	if err != nil {
		panic(err)
	}
	node.Serve(mux)
	jobs.Serve(mux)
	server := feedserver.New(feedserver.Options{
		Caller: caller, Address: m.address, Logger: zap.NewNop(),
		Sources: feedserver.Sources{
			Configuration: configurator.Current, Leaders: node.Leaders, Core: func() []string { return w.view.Members },
			InContact: func() bool { return node.InContact() && configurator.Fresh(configuration.FreshAge) },
			Changed:   []func() <-chan struct{}{configurator.Changed, node.Changed},
		},
	})
	server.Mount(mux)
	tasks := new(sync.WaitGroup)
	tasks.Go(func() { configurator.Run(ctx) })
	tasks.Go(func() { server.Run(ctx) })
	tasks.Go(func() { node.Run(ctx) })
	node.Ensure(group)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.handler, m.operator, m.configurator = mux, control.New(ctx, configurator, zap.NewNop()), configurator
	m.register, m.node, m.jobs, m.up, m.end, m.tasks = proposer, node, jobs, true, end, tasks
}

// startAgent starts an agent.
func (m *machine) startAgent() {
	ctx, end := context.WithCancel(context.Background())
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.life++
	m.agent = agent.New(agent.Config{
		Address: m.address, Seeds: m.world.view.Members, Caller: endpoint{m.world.network, m, m.life}, Logger: zap.NewNop(),
	})
	mux := transport.NewMux()
	m.agent.Mount(mux)
	m.agent.MountLocal(mux)
	m.handler, m.up, m.end, m.tasks = mux, true, end, new(sync.WaitGroup)
	m.tasks.Go(func() { m.agent.Run(ctx) })
}

// kill ends the process at once: nothing of it leaves or reaches the disk any more.
func (m *machine) kill() {
	m.mutex.Lock()
	m.up, m.thaws = false, time.Time{}
	end, tasks, jobs := m.end, m.tasks, m.jobs
	m.mutex.Unlock()
	end()
	tasks.Wait()
	if jobs != nil {
		jobs.Stop()
	}
}
