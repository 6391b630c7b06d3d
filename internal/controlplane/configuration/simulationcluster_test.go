package configuration_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/rebuild"
	"puffinlink.example/puffinlink/internal/controlplane/register"
	"puffinlink.example/puffinlink/internal/controlplane/register/registertest"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	registerName        = "configuration"
	processRestartDelay = 200 * time.Millisecond // until a replaced process is started again
	readInterval        = 900 * time.Millisecond
	readTimeout         = 1490 * time.Millisecond
	contactTimeout      = time.Second // a member counts as reachable for this long after its last message
)

// memberProcess is one incarnation of a member, with all components that handle operators' updates.
type memberProcess struct {
	address      string
	disk         *storage.Memory
	store        *registertest.ProcessStore
	manager      *replicaset.Manager
	rebuilder    *rebuild.Rebuilder
	configurator *configuration.Configurator
	control      http.Handler
	ctx          context.Context
	cancel       context.CancelFunc
}

// simulatedCluster holds the members and their processes.
type simulatedCluster struct {
	t         *testing.T
	network   *simulatedNetwork
	firstView replicaset.View
	tasks     sync.WaitGroup

	mutex     sync.Mutex // guards the fields below
	processes map[string]*memberProcess
	stopped   bool
}

func newSimulatedCluster(t *testing.T, seed uint64, size int) *simulatedCluster {
	c := &simulatedCluster{t: t, network: newSimulatedNetwork(seed), firstView: replicaset.View{Version: 1}, processes: make(map[string]*memberProcess)}
	for i := range size {
		c.firstView.Members = append(c.firstView.Members, fmt.Sprintf("core-%d", i))
	}
	for _, address := range c.firstView.Members {
		c.start(address, storage.NewMemory(), true)
	}
	return c
}

// start starts a process unless one is running at the address. Founders know the first view from the start.
func (c *simulatedCluster) start(address string, disk *storage.Memory, founder bool) {
	m := &memberProcess{address: address, disk: disk, store: registertest.NewProcessStore(disk)}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	mux := transport.NewMux()
	c.addMembership(m, mux, founder)
	c.addConfigurator(m, mux)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.stopped || c.processes[address] != nil {
		m.cancel()
		return
	}
	c.processes[address] = m
	c.network.setHandler(address, mux)
	c.tasks.Go(func() { m.manager.Run(m.ctx) })
	c.tasks.Go(func() { m.rebuilder.Run(m.ctx) })
	c.tasks.Go(func() { c.readPeriodically(m) })
	c.tasks.Go(func() { c.restartWhenReplaced(m) })
}

func (c *simulatedCluster) addMembership(m *memberProcess, mux *transport.Mux, founder bool) {
	caller := simulatedCaller{c.network, m.address, m.store.Alive}
	viewChange := register.NewViewChange(register.ViewChangeConfig{
		Self: m.address, Store: m.store, Caller: caller,
		Ready:       m.ready,
		View:        func() replicaset.View { return m.manager.View() },
		RandomBelow: func(bound time.Duration) time.Duration { return c.randomBackoff(m, bound) },
	})
	manager, err := replicaset.NewManager(replicaset.Config{
		Self: m.address, Seeds: c.firstView.Members, CountsForQuorum: true, Store: m.store, Caller: caller,
		ViewChange: viewChange, Logger: zap.NewNop(),
		Liveness: func() replicaset.Liveness { return c.liveness(m) },
	})
	if err != nil {
		c.t.Error(err)
	}
	m.manager = manager
	if founder {
		if err := manager.Learn(c.firstView); err != nil {
			c.t.Error(err)
		}
	}
	m.rebuilder, err = rebuild.New(rebuild.Config{
		Self: m.address, FirstStart: founder, Views: manager, Store: m.store, Caller: caller, Logger: zap.NewNop(),
	})
	if err != nil {
		c.t.Error(err)
	}
	m.rebuilder.Register(register.Merge, register.TablePrefix)
	viewChange.Serve(mux)
	manager.Serve(mux)
	m.rebuilder.Serve(mux)
}

func (c *simulatedCluster) addConfigurator(m *memberProcess, mux *transport.Mux) {
	caller := simulatedCaller{c.network, m.address, m.store.Alive}
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: registerName, Store: m.store, Ready: m.ready, View: m.manager.View,
	})
	m.configurator = configuration.New(configuration.Options{
		Register: register.New(register.Config{
			Name: registerName, Self: m.address, Acceptor: acceptor, View: m.manager.View, Caller: caller,
			OnNewerView: func(view replicaset.View) { m.manager.Learn(view) },
			RandomBelow: func(bound time.Duration) time.Duration { return c.randomBackoff(m, bound) },
		}),
		Caller: caller, Members: m.manager.View, Address: m.address, Logger: zap.NewNop(),
	})
	m.control = control.New(m.ctx, m.configurator, zap.NewNop())
	acceptor.Serve(mux)
	m.configurator.Mount(mux)
}

// randomBackoff draws a proposer's backoff. A killed process must not consume random numbers of its successor, because the run
// would no longer depend on the seed alone.
func (c *simulatedCluster) randomBackoff(m *memberProcess, bound time.Duration) time.Duration {
	if !m.store.Alive() {
		return 0
	}
	return c.network.randomDuration("pauses of "+m.address, bound)
}

func (m *memberProcess) ready() bool { return m.store.Alive() && m.rebuilder.Ready() }

// liveness returns a member's view of the other members' liveness, based on the messages that it has received.
func (c *simulatedCluster) liveness(m *memberProcess) replicaset.Liveness {
	view := m.manager.View()
	observed, reachable := replicaset.Liveness{SinceContact: make(map[string]time.Duration)}, 1
	for _, member := range view.Members {
		sinceLast, found := c.network.sinceLastReceived(m.address, member)
		if member == m.address || !found {
			continue
		}
		observed.SinceContact[member] = sinceLast
		if sinceLast < contactTimeout {
			reachable++
		}
	}
	observed.QuorumReachable = reachable >= view.Quorum()
	return observed
}

// readPeriodically replaces Configurator.Run. Its intervals do not coincide with other timers: two timers that expire at the same
// time may fire in either order, and the run would no longer depend on the seed alone.
func (c *simulatedCluster) readPeriodically(m *memberProcess) {
	defer m.configurator.Close()
	for m.ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(m.ctx, readTimeout)
		m.configurator.Read(bounded)
		cancel()
		select {
		case <-m.ctx.Done():
		case <-time.After(readInterval):
		}
	}
}

// restartWhenReplaced restarts a process with its disk after it has stopped because it was replaced.
func (c *simulatedCluster) restartWhenReplaced(m *memberProcess) {
	if err := m.rebuilder.Watch(m.ctx); !errors.Is(err, rebuild.ErrReplaced) || !c.stop(m) {
		return
	}
	<-time.After(processRestartDelay)
	c.start(m.address, m.disk, false)
}

// stop kills a process. It returns false if the process was not running.
func (c *simulatedCluster) stop(m *memberProcess) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if m == nil || c.processes[m.address] != m {
		return false
	}
	delete(c.processes, m.address)
	c.network.setHandler(m.address, nil)
	m.store.Kill()
	m.cancel()
	c.network.unfreeze(m.address)
	return true
}

// process returns the process that runs at an address, or nil.
func (c *simulatedCluster) process(address string) *memberProcess {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processes[address]
}

// newestView returns the newest view that a running member has learned.
func (c *simulatedCluster) newestView() replicaset.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := c.firstView
	for _, m := range c.processes {
		if view := m.manager.View(); view.Version > newest.Version {
			newest = view
		}
	}
	return newest
}

// allHealthy reports whether another member may be lost permanently: all members run, have learned the newest view and may vote.
func (c *simulatedCluster) allHealthy() bool {
	view := c.newestView()
	for _, address := range view.Members {
		m := c.process(address)
		if m == nil || !m.rebuilder.Ready() || m.manager.View().Version != view.Version {
			return false
		}
	}
	return true
}

func (c *simulatedCluster) stopAll() {
	c.mutex.Lock()
	c.stopped = true
	var remaining []*memberProcess
	for _, m := range c.processes {
		remaining = append(remaining, m)
	}
	c.mutex.Unlock()
	for _, m := range remaining {
		c.stop(m)
	}
	c.tasks.Wait()
}
