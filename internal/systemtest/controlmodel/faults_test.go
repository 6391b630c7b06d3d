package controlmodel

import (
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
)

const (
	probeLeadTime  = 100 * time.Millisecond // from the probes until a paused machine resumes
	probedJobCount = 4                      // jobs that are requested by the probes
)

// faultKind is a kind of fault of a machine.
type faultKind struct {
	name string
	// begin starts the fault and returns a function that ends it.
	begin func(s *simulation, m *machine, length time.Duration) (end func())
}

var coreFaults = []faultKind{
	{"partitioned from the core", func(s *simulation, m *machine, _ time.Duration) func() { return s.partition(m, s.cores, true, true) }},
	{"partitioned towards the core", func(s *simulation, m *machine, _ time.Duration) func() { return s.partition(m, s.cores, true, false) }},
	{"partitioned from the core's messages", func(s *simulation, m *machine, _ time.Duration) func() { return s.partition(m, s.cores, false, true) }},
	{"partitioned from the agents", func(s *simulation, m *machine, _ time.Duration) func() { return s.partition(m, s.agents, true, true) }},
	{"large messages lost", func(s *simulation, m *machine, _ time.Duration) func() {
		s.network.update(func(n *network) { n.losesLargeMessages[m.address] = true })
		return func() { s.network.update(func(n *network) { delete(n.losesLargeMessages, m.address) }) }
	}},
	{"paused", pauseMachine},
	{"paused", pauseMachine},
	{"restarted", func(_ *simulation, m *machine, _ time.Duration) func() {
		m.kill()
		return m.startCoordinator
	}},
	{"slow disk", func(_ *simulation, m *machine, length time.Duration) func() {
		m.setWriteDelay(length / 4)
		return func() { m.setWriteDelay(0) }
	}},
}

var agentFaults = []faultKind{
	{"paused", pauseMachine},
	{"partitioned from the core", func(s *simulation, m *machine, _ time.Duration) func() { return s.partition(m, s.cores, true, true) }},
}

// pauseMachine pauses a machine. A coordinator is sent requests about recent jobs shortly before it resumes.
func pauseMachine(s *simulation, m *machine, length time.Duration) func() {
	m.pause(length)
	if m.disk != nil {
		s.actors.Go(func() {
			<-time.After(length - probeLeadTime)
			s.probeJobs(m)
		})
	}
	return func() {}
}

// probeJobs requests from a node the status of the jobs that any node accepted last.
func (s *simulation) probeJobs(m *machine) {
	prober := client{simulation: s, caller: endpoint{s.network, s.clientMachine, 0}}
	for _, id := range s.checker.newestJobs(probedJobCount) {
		s.actors.Go(func() {
			sent := time.Now()
			var reply jobapi.StatusReply
			if prober.callAt(m.address, jobapi.StatusCall.Route(), jobapi.StatusRequest{Group: group, ID: id}, &reply) == nil {
				s.checker.checkJobReply(m.address, "status after a pause", sent, id, reply.Known, reply.State)
			}
		})
	}
}

// partition blocks the links from a machine to others, from others to it, or both. The returned function ends the partition.
func (s *simulation) partition(m *machine, others []*machine, out, in bool) (heal func()) {
	setPartitioned := func(partitioned bool) {
		s.network.update(func(n *network) {
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
	setPartitioned(true)
	return func() { setPartitioned(false) }
}

// scheduleFaults schedules random faults of random machines. Faults may overlap.
func (s *simulation) scheduleFaults() {
	background := []float64{0, 0, 0.01, 0.05}[s.random.IntN(4)]
	s.network.update(func(n *network) { n.lossRate, n.duplicationRate, n.delayRate = background, background, background })
	s.schedule = append(s.schedule, fmt.Sprintf("%.2f of messages lost, duplicated, delayed", background))
	if s.random.IntN(4) == 0 { // the most important case, without other faults: a leader resumes after its successor was elected
		at, length := time.Duration(s.random.Int64N(int64(faultPhase))), longestFault-time.Duration(s.random.Int64N(int64(time.Second)))
		s.schedule = append(s.schedule, fmt.Sprintf("after %v the leader paused for %v", at, length))
		s.pendingFaults.Go(func() { s.inject(faultKind{"paused", pauseMachine}, s.cores[0], true, at, length) })
		return
	}
	for range 1 + s.random.IntN(3) {
		at := time.Duration(s.random.Int64N(int64(faultPhase)))
		length := shortestFault + time.Duration(s.random.Int64N(int64(longestFault-shortestFault)))
		kinds, machines := coreFaults, s.cores
		if s.random.IntN(6) == 0 {
			kinds, machines = agentFaults, s.agents
		}
		kind, m := kinds[s.random.IntN(len(kinds))], machines[s.random.IntN(len(machines))]
		toLeader := s.random.IntN(2) == 0
		s.schedule = append(s.schedule, fmt.Sprintf("after %v %s (or the leader: %v) %s for %v", at, m.address, toLeader, kind.name, length))
		s.pendingFaults.Go(func() { s.inject(kind, m, toLeader, at, length) })
	}
}

// inject injects one fault after the delay at, unless the machine has another fault then. With toLeader, it uses the leader of that
// time instead of a coordinator m.
func (s *simulation) inject(kind faultKind, m *machine, toLeader bool, at, length time.Duration) {
	<-time.After(at)
	if leader := s.leader(); toLeader && leader != nil && m.disk != nil {
		m = leader
	}
	if !m.reserveForFault() {
		return
	}
	defer m.releaseFromFault()
	end := kind.begin(s, m, length)
	<-time.After(length)
	end()
}

// leader returns the coordinator that is the leader according to a running coordinator, or nil if there is none.
func (s *simulation) leader() *machine {
	for _, m := range s.cores {
		if m.running() {
			return s.network.machineAt(m.node.Leaders()[group].Address)
		}
	}
	return nil
}

func (m *machine) reserveForFault() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.hasFault
	m.hasFault = true
	return !taken
}

func (m *machine) releaseFromFault() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.hasFault = false
}

// addMachine adds a machine to the network. Coordinators have a disk.
func (s *simulation) addMachine(address string) *machine {
	m := &machine{simulation: s, address: address}
	if address[0] == 'c' {
		m.disk = storage.NewMemory()
	}
	s.network.update(func(n *network) { n.machines[address] = m })
	return m
}

func (s *simulation) startAll() {
	s.clientMachine = &machine{simulation: s, address: "outside", isUp: true}
	for _, m := range s.cores {
		m.startCoordinator()
	}
	for _, m := range s.agents {
		m.startAgent()
	}
}
