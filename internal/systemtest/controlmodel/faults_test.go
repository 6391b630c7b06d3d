package controlmodel

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

const (
	question = 100 * time.Millisecond // before a machine that stands still goes on
	doubts   = 4                      // questions that wait for it then
)

// fault is one kind of what may happen to a machine.
type fault struct {
	name string
	// strike begins it, and returns what ends it.
	strike func(w *world, m *machine, length time.Duration) (end func())
}

var coreFaults = []fault{
	{"cut from the core", func(w *world, m *machine, _ time.Duration) func() { return w.cut(m, w.cores, true, true) }},
	{"cut out of the core", func(w *world, m *machine, _ time.Duration) func() { return w.cut(m, w.cores, true, false) }},
	{"cut into the core", func(w *world, m *machine, _ time.Duration) func() { return w.cut(m, w.cores, false, true) }},
	{"cut from the agents", func(w *world, m *machine, _ time.Duration) func() { return w.cut(m, w.agents, true, true) }},
	{"large messages lost", func(w *world, m *machine, _ time.Duration) func() {
		w.network.set(func(n *network) { n.narrow[m.address] = true })
		return func() { w.network.set(func(n *network) { delete(n.narrow, m.address) }) }
	}},
	{"frozen", freeze},
	{"frozen", freeze},
	{"restarted", func(_ *world, m *machine, _ time.Duration) func() {
		m.kill()
		return m.startCore
	}},
	{"slow disk", func(_ *world, m *machine, length time.Duration) func() {
		m.stall(length / 4)
		return func() { m.stall(0) }
	}},
}

var agentFaults = []fault{
	{"frozen", freeze},
	{"cut from the core", func(w *world, m *machine, _ time.Duration) func() { return w.cut(m, w.cores, true, true) }},
}

// freeze lets a machine stand still. Shortly before it goes on, it is asked what has come to pass in the meantime.
func freeze(w *world, m *machine, length time.Duration) func() {
	m.freeze(length)
	if m.disk != nil {
		w.actors.Go(func() {
			<-time.After(length - question)
			w.doubt(m)
		})
	}
	return func() {}
}

// doubt asks a node for the jobs that were accepted last, wherever that was.
func (w *world) doubt(m *machine) {
	asked := client{world: w, caller: endpoint{w.network, w.outside, 0}}
	for _, id := range w.judge.newestJobs(doubts) {
		w.actors.Go(func() {
			sent := time.Now()
			var reply jobapi.StatusReply
			if asked.callAt(m.address, jobapi.StatusCall.Route(), jobapi.Status{Group: group, ID: id}, &reply) == nil {
				w.judge.told(m.address, "status after a freeze", sent, id, reply.Known, reply.State)
			}
		})
	}
}

// cut cuts the ways from a machine to others, to it from others, or both.
func (w *world) cut(m *machine, others []*machine, out, in bool) (heal func()) {
	set := func(cut bool) {
		w.network.set(func(n *network) {
			for _, other := range others {
				if other != m && out {
					n.cuts[way{m.address, other.address}] = cut
				}
				if other != m && in {
					n.cuts[way{other.address, m.address}] = cut
				}
			}
		})
	}
	set(true)
	return func() { set(false) }
}

// fault lets troubles strike, one after the other or at the same time, at any two machines at most.
func (w *world) fault() {
	background := []float64{0, 0, 0.01, 0.05}[w.random.IntN(4)]
	w.network.set(func(n *network) { n.loss, n.double, n.late = background, background, background })
	w.log = append(w.log, fmt.Sprintf("%.2f of messages lost, doubled, late", background))
	if w.random.IntN(4) == 0 { // what the model is most about, alone: a leader wakes beside its successor
		at, length := time.Duration(w.random.Int64N(int64(troubled))), longest-time.Duration(w.random.Int64N(int64(time.Second)))
		w.log = append(w.log, fmt.Sprintf("after %v the leader frozen for %v", at, length))
		w.faults.Go(func() { w.strike(fault{"frozen", freeze}, w.cores[0], true, at, length) })
		return
	}
	for range 1 + w.random.IntN(3) {
		at := time.Duration(w.random.Int64N(int64(troubled)))
		length := shortest + time.Duration(w.random.Int64N(int64(longest-shortest)))
		kinds, machines := coreFaults, w.cores
		if w.random.IntN(6) == 0 {
			kinds, machines = agentFaults, w.agents
		}
		kind, m := kinds[w.random.IntN(len(kinds))], machines[w.random.IntN(len(machines))]
		toLeader := w.random.IntN(2) == 0
		w.log = append(w.log, fmt.Sprintf("after %v %s (or the leader: %v) %s for %v", at, m.address, toLeader, kind.name, length))
		w.faults.Go(func() { w.strike(kind, m, toLeader, at, length) })
	}
}

// strike lets one trouble happen, unless the machine has another one.
func (w *world) strike(kind fault, m *machine, toLeader bool, at, length time.Duration) {
	<-time.After(at)
	if leader := w.leader(); toLeader && leader != nil && m.disk != nil {
		m = leader
	}
	if !m.take() {
		return
	}
	defer m.release()
	end := kind.strike(w, m, length)
	<-time.After(length)
	end()
}

// leader is the core node that the others name; nil if none does.
func (w *world) leader() *machine {
	for _, m := range w.cores {
		if m.running() {
			return w.network.machineAt(m.node.Leaders()[group].Address)
		}
	}
	return nil
}

func (m *machine) take() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.taken
	m.taken = true
	return !taken
}

func (m *machine) release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.taken = false
}

// add makes a machine; core nodes have a disk.
func (w *world) add(address string) *machine {
	m := &machine{world: w, address: address}
	if address[0] == 'c' {
		m.disk = storage.NewMemory()
	}
	w.network.set(func(n *network) { n.machines[address] = m })
	return m
}

func (w *world) startAll() {
	w.outside = &machine{world: w, address: "outside", up: true}
	for _, m := range w.cores {
		m.startCore()
	}
	for _, m := range w.agents {
		m.startAgent()
	}
}
