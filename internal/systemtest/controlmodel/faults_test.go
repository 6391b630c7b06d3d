package controlmodel

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

const (
	probeLeadTime = 100 * time.Millisecond // before a machine that is paused resumes
	probedJobs    = 4                      // questions that wait for it then
)

// faultKind is one kind of fault of a machine.
type faultKind struct {
	name string
	// inject begins it, and returns what ends it.
	inject func(w *simulation, m *machine, length time.Duration) (end func())
}

var coreFaults = []faultKind{
	{"cut from the core", func(w *simulation, m *machine, _ time.Duration) func() { return w.partition(m, w.cores, true, true) }},
	{"cut out of the core", func(w *simulation, m *machine, _ time.Duration) func() { return w.partition(m, w.cores, true, false) }},
	{"cut into the core", func(w *simulation, m *machine, _ time.Duration) func() { return w.partition(m, w.cores, false, true) }},
	{"cut from the agents", func(w *simulation, m *machine, _ time.Duration) func() { return w.partition(m, w.agents, true, true) }},
	{"large messages lost", func(w *simulation, m *machine, _ time.Duration) func() {
		w.network.update(func(n *network) { n.losesLarge[m.address] = true })
		return func() { w.network.update(func(n *network) { delete(n.losesLarge, m.address) }) }
	}},
	{"frozen", pauseMachine},
	{"frozen", pauseMachine},
	{"restarted", func(_ *simulation, m *machine, _ time.Duration) func() {
		m.kill()
		return m.startCore
	}},
	{"slow disk", func(_ *simulation, m *machine, length time.Duration) func() {
		m.setWriteDelay(length / 4)
		return func() { m.setWriteDelay(0) }
	}},
}

var agentFaults = []faultKind{
	{"frozen", pauseMachine},
	{"cut from the core", func(w *simulation, m *machine, _ time.Duration) func() { return w.partition(m, w.cores, true, true) }},
}

// pauseMachine pauses a machine. Shortly before it resumes it gets requests about what happened in the meantime.
func pauseMachine(w *simulation, m *machine, length time.Duration) func() {
	m.pause(length)
	if m.disk != nil {
		w.actors.Go(func() {
			<-time.After(length - probeLeadTime)
			w.probeJobs(m)
		})
	}
	return func() {}
}

// probeJobs requests from a node the jobs that were accepted last by any node.
func (w *simulation) probeJobs(m *machine) {
	requester := client{simulation: w, caller: endpoint{w.network, w.outside, 0}}
	for _, id := range w.checker.newestJobs(probedJobs) {
		w.actors.Go(func() {
			sent := time.Now()
			var reply jobapi.StatusReply
			if requester.callAt(m.address, jobapi.StatusCall.Route(), jobapi.Status{Group: group, ID: id}, &reply) == nil {
				w.checker.checkJobReply(m.address, "status after a freeze", sent, id, reply.Known, reply.State)
			}
		})
	}
}

// partition closes the links from a machine to others, from others to it, or both.
func (w *simulation) partition(m *machine, others []*machine, out, in bool) (heal func()) {
	set := func(partitioned bool) {
		w.network.update(func(n *network) {
			for _, other := range others {
				if other != m && out {
					n.partitioned[link{m.address, other.address}] = partitioned
				}
				if other != m && in {
					n.partitioned[link{other.address, m.address}] = partitioned
				}
			}
		})
	}
	set(true)
	return func() { set(false) }
}

// scheduleFaults injects faults, one after the other or at the same time, at any machines.
func (w *simulation) scheduleFaults() {
	background := []float64{0, 0, 0.01, 0.05}[w.random.IntN(4)]
	w.network.update(func(n *network) { n.loss, n.duplication, n.delay = background, background, background })
	w.schedule = append(w.schedule, fmt.Sprintf("%.2f of messages lost, doubled, late", background))
	if w.random.IntN(4) == 0 { // what the model is most about, alone: a leader wakes beside its successor
		at, length := time.Duration(w.random.Int64N(int64(faultPhase))), longestFault-time.Duration(w.random.Int64N(int64(time.Second)))
		w.schedule = append(w.schedule, fmt.Sprintf("after %v the leader frozen for %v", at, length))
		w.pendingFaults.Go(func() { w.inject(faultKind{"frozen", pauseMachine}, w.cores[0], true, at, length) })
		return
	}
	for range 1 + w.random.IntN(3) {
		at := time.Duration(w.random.Int64N(int64(faultPhase)))
		length := shortestFault + time.Duration(w.random.Int64N(int64(longestFault-shortestFault)))
		kinds, machines := coreFaults, w.cores
		if w.random.IntN(6) == 0 {
			kinds, machines = agentFaults, w.agents
		}
		kind, m := kinds[w.random.IntN(len(kinds))], machines[w.random.IntN(len(machines))]
		toLeader := w.random.IntN(2) == 0
		w.schedule = append(w.schedule, fmt.Sprintf("after %v %s (or the leader: %v) %s for %v", at, m.address, toLeader, kind.name, length))
		w.pendingFaults.Go(func() { w.inject(kind, m, toLeader, at, length) })
	}
}

// inject injects one fault, unless the machine has another one.
func (w *simulation) inject(kind faultKind, m *machine, toLeader bool, at, length time.Duration) {
	<-time.After(at)
	if leader := w.leader(); toLeader && leader != nil && m.disk != nil {
		m = leader
	}
	if !m.reserve() {
		return
	}
	defer m.release()
	end := kind.inject(w, m, length)
	<-time.After(length)
	end()
}

// leader is the core node that the others name; nil if none does.
func (w *simulation) leader() *machine {
	for _, m := range w.cores {
		if m.running() {
			return w.network.machineAt(m.node.Leaders()[group].Address)
		}
	}
	return nil
}

func (m *machine) reserve() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.hasFault
	m.hasFault = true
	return !taken
}

func (m *machine) release() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hasFault = false
}

// addMachine makes a machine; core nodes have a disk.
func (w *simulation) addMachine(address string) *machine {
	m := &machine{simulation: w, address: address}
	if address[0] == 'c' {
		m.disk = storage.NewMemory()
	}
	w.network.update(func(n *network) { n.machines[address] = m })
	return m
}

func (w *simulation) startAll() {
	w.outside = &machine{simulation: w, address: "outside", up: true}
	for _, m := range w.cores {
		m.startCore()
	}
	for _, m := range w.agents {
		m.startAgent()
	}
}
