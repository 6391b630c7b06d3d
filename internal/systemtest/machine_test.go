package systemtest

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// Port offsets, relative to the system's first port. targetPortOffset is added for the port on which a process listens
// behind its relay.
const (
	coordinatorOffset = 0
	agentOffset       = 1
	localOffset       = 2
	frontOffset       = 3
	controlOffset     = 4
	readinessOffset   = 5
	targetPortOffset  = 100
)

// machine is one machine of the system, with its processes and the relays in front of them.
type machine struct {
	system        *system
	name          string
	ip            string
	dataDirectory string // empty without a disk
	processes     []*process
	relays        map[*process][]*relay
	incarnations  int // number of starts of the machine or one of its processes

	mu       sync.Mutex
	reserved bool // a fault holds the machine: it is down, paused, partitioned or being restarted
}

// address returns the machine's address with the port at an offset from the first port.
func (m *machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.ip, m.system.port+offset) }

func (s *system) newMachine(name string) (*machine, error) {
	s.machineCount++
	m := &machine{system: s, name: name, ip: fmt.Sprintf("%s.%d", s.subnet, s.machineCount), relays: map[*process][]*relay{}}
	return m, os.MkdirAll(filepath.Join(s.folder, name), 0o755)
}

// newCoreMachine creates a machine with a data directory.
func (s *system) newCoreMachine(name string) (*machine, error) {
	m, err := s.newMachine(name)
	if err != nil {
		return nil, err
	}
	m.dataDirectory = filepath.Join(s.folder, name, "data")
	return m, os.Mkdir(m.dataDirectory, 0o755)
}

// addProcess adds a process to the machine, with a relay in front of the port at each of the offsets. The process is not
// started yet.
func (m *machine) addProcess(spec childSpec, offsets ...int) error {
	log, err := os.Create(filepath.Join(m.system.folder, m.name, string(spec.Role)+".log"))
	if err != nil {
		return err
	}
	m.system.logs = append(m.system.logs, log)
	p := &process{name: m.name + " " + string(spec.Role), spec: spec, log: log}
	m.processes = append(m.processes, p)
	for _, offset := range offsets {
		r := &relay{network: m.system.network, to: m.name, address: m.address(offset), target: m.address(offset + targetPortOffset)}
		if offset != frontOffset && offset != controlOffset {
			r.caller = m.system.callerName
		}
		if offset == frontOffset {
			r.onAbort = m.system.recordAborted
		}
		m.relays[p] = append(m.relays[p], r)
	}
	return nil
}

// addCoordinator adds the coordinator process to a core machine.
func (m *machine) addCoordinator(firstStart bool) error {
	return m.addProcess(childSpec{
		Role: coordinatorRole, Settings: m.system.settings(m, firstStart),
		Primary: m.address(coordinatorOffset + targetPortOffset), Secondary: m.address(controlOffset + targetPortOffset),
	}, coordinatorOffset, controlOffset)
}

// start starts a process and opens its relays.
func (m *machine) start(p *process) error {
	if err := p.start(); err != nil {
		return err
	}
	if p.otherBuild != "" { // it listens on its own address, without relays
		return nil
	}
	for _, r := range m.relays[p] {
		if err := r.open(); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts the machine's processes. planned tells the checker that they had been shut down gracefully.
func (m *machine) startAll(planned bool) error {
	var failures []error
	m.system.addFault(checker.Fault{Machine: m.name, Planned: planned})
	m.nextIncarnation()
	for _, p := range m.processes {
		failures = append(failures, m.start(p))
	}
	m.system.recordFaultEnd(m.name)
	return errors.Join(failures...)
}

// nextIncarnation begins a new incarnation, at each start of the machine or of one of its processes.
func (m *machine) nextIncarnation() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.incarnations++
}

// incarnation returns the number of the machine's current incarnation.
func (m *machine) incarnation() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnations
}

// endProcess ends a process with a signal, waits until it has exited, and closes its relays.
func (m *machine) endProcess(p *process, signal syscall.Signal) {
	m.system.recordFaultStart(m.name)
	p.end(signal)
	m.closeRelays(p)
}

// closeRelays closes the relays in front of a process.
func (m *machine) closeRelays(p *process) {
	for _, r := range m.relays[p] {
		r.close()
	}
}

// shutDown asks all processes of the machine to shut down, and kills those that are running after the grace period.
func (m *machine) shutDown() {
	m.system.addFault(checker.Fault{Machine: m.name, Planned: true})
	var all sync.WaitGroup
	for _, p := range m.processes {
		all.Go(func() {
			p.terminate(gracePeriod)
			m.closeRelays(p)
		})
	}
	all.Wait()
}

// kill kills all processes of the machine.
func (m *machine) kill() {
	for _, p := range m.processes {
		m.endProcess(p, syscall.SIGKILL)
	}
}

// restart starts the machine's processes again on its existing disk.
func (m *machine) restart(planned bool) error {
	for _, p := range m.processes {
		p.spec.Settings = m.system.settings(m, false)
	}
	return m.startAll(planned)
}

// eraseDisk empties the data directory of a machine that is not running.
func (m *machine) eraseDisk() error {
	if err := os.RemoveAll(m.dataDirectory); err != nil {
		return err
	}
	return os.Mkdir(m.dataDirectory, 0o755)
}

// pause suspends the machine's processes until resume is called. When it returns they are suspended: what is sent to them afterwards waits in
// their sockets.
func (m *machine) pause() {
	m.system.recordFaultStart(m.name)
	for _, p := range m.processes {
		p.signal(syscall.SIGSTOP)
	}
	for _, p := range m.processes {
		p.awaitSuspended()
	}
}

func (m *machine) resume() {
	for _, p := range m.processes {
		p.signal(syscall.SIGCONT)
	}
	m.system.recordFaultEnd(m.name)
}

// partition blocks the links from a machine to others, and with bothWays also the links from the others to it.
func (s *system) partition(from *machine, others []*machine, bothWays bool) {
	s.setPartitions(from, others, bothWays, true)
	for _, other := range append([]*machine{from}, others...) {
		s.recordFaultStart(other.name)
	}
}

func (s *system) heal(from *machine, others []*machine, bothWays bool) {
	s.setPartitions(from, others, bothWays, false)
	for _, other := range append([]*machine{from}, others...) {
		s.recordFaultEnd(other.name)
	}
}

func (s *system) setPartitions(from *machine, others []*machine, bothWays, partitioned bool) {
	for _, other := range others {
		s.network.setPartition(from.name, other.name, partitioned)
		if bothWays {
			s.network.setPartition(other.name, from.name, partitioned)
		}
	}
}

// callerName returns the name of the machine whose process owns the remote end of a connection, or an empty string if there
// is none.
func (s *system) callerName(connection net.Conn) string {
	socket, err := socketOf(connection)
	if err != nil {
		return ""
	}
	known := s.callers.Load()
	if known == nil {
		return ""
	}
	for _, m := range *known {
		for _, p := range m.processes {
			if pid := p.pid(); pid != 0 && ownsSocket(pid, socket) {
				return m.name
			}
		}
	}
	return ""
}
