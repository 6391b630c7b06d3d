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
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/transport"
)

const (
	registerName = "configuration"
	againAfter   = 200 * time.Millisecond // until a process that ended by itself is started again
	readEvery    = 900 * time.Millisecond
	readBound    = 1490 * time.Millisecond
	contactFresh = time.Second // a member counts as in contact for as long after it was heard
)

// machine is one incarnation of a core process with all that takes part in the operators' orders.
type machine struct {
	address      string
	disk         *storage.Memory
	store        *machineStore
	manager      *replicaset.Manager
	rebuilder    *rebuild.Rebuilder
	configurator *configuration.Configurator
	control      http.Handler
	ctx          context.Context
	kill         context.CancelFunc
}

// machineStore is a disk that a killed process writes to no more.
type machineStore struct {
	*storage.Memory
	mutex sync.Mutex
	dead  bool
}

var errKilled = errors.New("the process was killed")

// Write implements storage.Store.
func (s *machineStore) Write(changes ...storage.Change) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.dead {
		return errKilled
	}
	return s.Memory.Write(changes...)
}

func (s *machineStore) end() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.dead = true
}

func (s *machineStore) alive() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.dead
}

// modelCluster is the core machines.
type modelCluster struct {
	t       *testing.T
	network *modelNetwork
	first   replicaset.View
	tasks   sync.WaitGroup

	mutex   sync.Mutex // guards what follows
	running map[string]*machine
	ending  bool
}

func newModelCluster(t *testing.T, seed uint64, size int) *modelCluster {
	c := &modelCluster{t: t, network: newModelNetwork(seed), first: replicaset.View{Version: 1}, running: make(map[string]*machine)}
	for i := range size {
		c.first.Members = append(c.first.Members, fmt.Sprintf("core-%d", i))
	}
	for _, address := range c.first.Members {
		c.start(address, storage.NewMemory(), true)
	}
	return c
}

// start starts a process unless there is one at the address. The founders know the first view.
func (c *modelCluster) start(address string, disk *storage.Memory, founder bool) {
	m := &machine{address: address, disk: disk, store: &machineStore{Memory: disk}}
	m.ctx, m.kill = context.WithCancel(context.Background())
	mux := transport.NewMux()
	c.assembleMembership(m, mux, founder)
	c.assembleConfigurator(m, mux)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ending || c.running[address] != nil {
		m.kill()
		return
	}
	c.running[address] = m
	c.network.serve(address, mux)
	c.tasks.Go(func() { m.manager.Run(m.ctx) })
	c.tasks.Go(func() { m.rebuilder.Run(m.ctx) })
	c.tasks.Go(func() { c.keepReading(m) })
	c.tasks.Go(func() { c.watch(m) })
}

func (c *modelCluster) assembleMembership(m *machine, mux *transport.Mux, founder bool) {
	caller := modelCaller{c.network, m.address, m.store.alive}
	succession := register.NewSuccession(register.SuccessionConfig{
		Self: m.address, Store: m.store, Caller: caller,
		Ready:       m.ready,
		View:        func() replicaset.View { return m.manager.View() },
		RandomBelow: func(bound time.Duration) time.Duration { return c.pause(m, bound) },
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

func (c *modelCluster) assembleConfigurator(m *machine, mux *transport.Mux) {
	caller := modelCaller{c.network, m.address, m.store.alive}
	acceptor := register.NewAcceptor(register.AcceptorConfig{
		Name: registerName, Store: m.store, Ready: m.ready, View: m.manager.View,
	})
	m.configurator = configuration.New(configuration.Options{
		Register: register.New(register.Config{
			Name: registerName, Self: m.address, Acceptor: acceptor, View: m.manager.View, Caller: caller,
			OnNewerView: func(view replicaset.View) { m.manager.Learn(view) },
			RandomBelow: func(bound time.Duration) time.Duration { return c.pause(m, bound) },
		}),
		Caller: caller, Members: m.manager.View, Address: m.address, Logger: zap.NewNop(),
	})
	m.control = control.New(m.ctx, m.configurator, zap.NewNop())
	acceptor.Serve(mux)
	m.configurator.Mount(mux)
}

// pause draws a proposer's pause; a killed process must not take from the chances of the next one.
func (c *modelCluster) pause(m *machine, bound time.Duration) time.Duration {
	if !m.store.alive() {
		return 0
	}
	return c.network.draw("pauses of "+m.address, bound)
}

func (m *machine) ready() bool { return m.store.alive() && m.rebuilder.Ready() }

// contacts is what a machine knows of the others by the messages that it has heard.
func (c *modelCluster) contacts(m *machine) replicaset.Liveness {
	view := m.manager.View()
	contacts, heard := replicaset.Liveness{SinceHeard: make(map[string]time.Duration)}, 1
	for _, member := range view.Members {
		silence, found := c.network.silence(m.address, member)
		if member == m.address || !found {
			continue
		}
		contacts.SinceHeard[member] = silence
		if silence < contactFresh {
			heard++
		}
	}
	contacts.QuorumReachable = heard >= view.Quorum()
	return contacts
}

// keepReading does what Configurator.Run does, with times that coincide with no other bound: of two timers of one moment
// either may be heard first, and a seed would replay nothing.
func (c *modelCluster) keepReading(m *machine) {
	defer m.configurator.Close()
	for m.ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(m.ctx, readBound)
		m.configurator.Read(bounded)
		cancel()
		select {
		case <-m.ctx.Done():
		case <-time.After(readEvery):
		}
	}
}

// watch starts a process again, on its disk, when it has ended because it was replaced.
func (c *modelCluster) watch(m *machine) {
	if err := m.rebuilder.Watch(m.ctx); !errors.Is(err, rebuild.ErrReplaced) || !c.stop(m) {
		return
	}
	<-time.After(againAfter)
	c.start(m.address, m.disk, false)
}

// stop kills a process; false if it was dead already.
func (c *modelCluster) stop(m *machine) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if m == nil || c.running[m.address] != m {
		return false
	}
	delete(c.running, m.address)
	c.network.serve(m.address, nil)
	m.store.end()
	m.kill()
	c.network.unfreeze(m.address)
	return true
}

// at returns the process at an address; nil while there is none.
func (c *modelCluster) at(address string) *machine {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.running[address]
}

// newest is the newest view that any running machine knows.
func (c *modelCluster) newest() replicaset.View {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	newest := c.first
	for _, m := range c.running {
		if view := m.manager.View(); view.Version > newest.Version {
			newest = view
		}
	}
	return newest
}

// allWell tells whether one more member may be lost for good: all are there, work with the newest view and may vote.
func (c *modelCluster) allWell() bool {
	newest := c.newest()
	for _, address := range newest.Members {
		m := c.at(address)
		if m == nil || !m.rebuilder.Ready() || m.manager.View().Version != newest.Version {
			return false
		}
	}
	return true
}

func (c *modelCluster) end() {
	c.mutex.Lock()
	c.ending = true
	var left []*machine
	for _, m := range c.running {
		left = append(left, m)
	}
	c.mutex.Unlock()
	for _, m := range left {
		c.stop(m)
	}
	c.tasks.Wait()
}
