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
	processRestartDelay = 200 * time.Millisecond // until a process that ended by itself is started again
	readPause           = 900 * time.Millisecond
	readLimit           = 1490 * time.Millisecond
	contactTimeout      = time.Second // a member counts as in contact for as long after its last message
)

// memberProcess is one incarnation of a member with all that takes part in operators' updates.
type memberProcess struct {
	address      string
	disk         *storage.Memory
	store        *registertest.ProcessStore
	manager      *replicaset.Manager
	rebuilder    *rebuild.Rebuilder
	configurator *configuration.Configurator
	control      http.Handler
	ctx          context.Context
	kill         context.CancelFunc
}

// simulatedCluster has the members and their processes.
type simulatedCluster struct {
	t       *testing.T
	network *simulatedNetwork
	first   replicaset.View
	tasks   sync.WaitGroup

	mutex     sync.Mutex // guards what follows
	processes map[string]*memberProcess
	ending    bool
}

func newSimulatedCluster(t *testing.T, seed uint64, size int) *simulatedCluster {
	c := &simulatedCluster{t: t, network: newSimulatedNetwork(seed), first: replicaset.View{Version: 1}, processes: make(map[string]*memberProcess)}
	for i := range size {
		c.first.Members = append(c.first.Members, fmt.Sprintf("core-%d", i))
	}
	for _, address := range c.first.Members {
		c.start(address, storage.NewMemory(), true)
	}
	return c
}

// start starts a process unless there is one at the address. The founders know the first view.
func (c *simulatedCluster) start(address string, disk *storage.Memory, founder bool) {
	m := &memberProcess{address: address, disk: disk, store: registertest.NewProcessStore(disk)}
	m.ctx, m.kill = context.WithCancel(context.Background())
	mux := transport.NewMux()
	c.assembleMembership(m, mux, founder)
	c.assembleConfigurator(m, mux)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending || c.processes[address] != nil {
		m.kill()
		return
	}
	c.processes[address] = m
	c.network.serve(address, mux)
	c.tasks.Go(func() { m.manager.Run(m.ctx) })
	c.tasks.Go(func() { m.rebuilder.Run(m.ctx) })
	c.tasks.Go(func() { c.readPeriodically(m) })
	c.tasks.Go(func() { c.restartWhenReplaced(m) })
}

func (c *simulatedCluster) assembleMembership(m *memberProcess, mux *transport.Mux, founder bool) {
	caller := simulatedCaller{c.network, m.address, m.store.Alive}
	succession := register.NewSuccession(register.SuccessionConfig{
		Self: m.address, Store: m.store, Caller: caller,
		Ready:       m.ready,
		View:        func() replicaset.View { return m.manager.View() },
		RandomBelow: func(bound time.Duration) time.Duration { return c.randomBackoff(m, bound) },
	})
	manager, err := replicaset.NewManager(replicaset.Config{
		Self: m.address, Seeds: c.first.Members, CountsForQuorum: true, Store: m.store, Caller: caller,
		Succession: succession, Logger: zap.NewNop(),
		Liveness: func() replicaset.Liveness { return c.contacts(m) },
	})
	if err != nil {
		c.t.Error(err)
	}
	m.manager = manager
	if founder {
		if err := manager.Learn(c.first); err != nil {
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
	succession.Serve(mux)
	manager.Serve(mux)
	m.rebuilder.Serve(mux)
}

func (c *simulatedCluster) assembleConfigurator(m *memberProcess, mux *transport.Mux) {
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

// randomBackoff draws a proposer's pause; a killed process must not take from the chances of the next one.
func (c *simulatedCluster) randomBackoff(m *memberProcess, bound time.Duration) time.Duration {
	if !m.store.Alive() {
		return 0
	}
	return c.network.draw("pauses of "+m.address, bound)
}

func (m *memberProcess) ready() bool { return m.store.Alive() && m.rebuilder.Ready() }

// contacts is what a member knows of the others by the messages that it has received.
func (c *simulatedCluster) contacts(m *memberProcess) replicaset.Liveness {
	view := m.manager.View()
	contacts, reachable := replicaset.Liveness{SinceContact: make(map[string]time.Duration)}, 1
	for _, member := range view.Members {
		sinceLast, found := c.network.sinceLastReceived(m.address, member)
		if member == m.address || !found {
			continue
		}
		contacts.SinceContact[member] = sinceLast
		if sinceLast < contactTimeout {
			reachable++
		}
	}
	contacts.QuorumReachable = reachable >= view.Quorum()
	return contacts
}

// readPeriodically does what Configurator.Run does, with times that coincide with no other bound: of two timers of one moment
// either may fire first, and a seed would replay nothing.
func (c *simulatedCluster) readPeriodically(m *memberProcess) {
	defer m.configurator.Close()
	for m.ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(m.ctx, readLimit)
		m.configurator.Read(bounded)
		cancel()
		select {
		case <-m.ctx.Done():
		case <-time.After(readPause):
		}
	}
}

// restartWhenReplaced starts a process again, on its disk, when it has ended because it was replaced.
func (c *simulatedCluster) restartWhenReplaced(m *memberProcess) {
	if err := m.rebuilder.Watch(m.ctx); !errors.Is(err, rebuild.ErrReplaced) || !c.stop(m) {
		return
	}
	<-time.After(processRestartDelay)
	c.start(m.address, m.disk, false)
}

// stop kills a process; false if it was dead already.
func (c *simulatedCluster) stop(m *memberProcess) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if m == nil || c.processes[m.address] != m {
		return false
	}
	delete(c.processes, m.address)
	c.network.serve(m.address, nil)
	m.store.Kill()
	m.kill()
	c.network.unfreeze(m.address)
	return true
}

// process returns the process at an address; nil while there is none.
func (c *simulatedCluster) process(address string) *memberProcess {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.processes[address]
}

// newest is the newest view that any running member has learned.
func (c *simulatedCluster) newest() replicaset.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := c.first
	for _, m := range c.processes {
		if view := m.manager.View(); view.Version > newest.Version {
			newest = view
		}
	}
	return newest
}

// allHealthy reports whether one more member may be lost for good: all run, have learned the newest view and may vote.
func (c *simulatedCluster) allHealthy() bool {
	newest := c.newest()
	for _, address := range newest.Members {
		m := c.process(address)
		if m == nil || !m.rebuilder.Ready() || m.manager.View().Version != newest.Version {
			return false
		}
	}
	return true
}

func (c *simulatedCluster) end() {
	c.mutex.Lock()
	c.ending = true
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
