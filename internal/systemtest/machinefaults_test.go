package systemtest

import (
	"context"
	"syscall"
	"time"
)

// reserve reserves a machine for a fault. It returns false while another fault holds the machine.
func (m *machine) reserve() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reserved {
		return false
	}
	m.reserved = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reserved = false
}

// crashMachine kills a machine and restarts it in the background after the outage, with an empty disk if eraseDisk is set.
func (s *system) crashMachine(ctx context.Context, m *machine, outage time.Duration, eraseDisk bool) {
	if m == nil || !m.reserve() {
		return
	}
	m.kill()
	if eraseDisk {
		s.recordFailure(m.eraseDisk())
	}
	s.recoveries.Go(func() {
		defer m.release()
		if sleep(ctx, outage) == nil {
			s.recordFailure(m.restart(false))
		}
	})
}

// crashProcess kills a machine's process of one role and restarts it in the background after the outage.
func (s *system) crashProcess(ctx context.Context, m *machine, target role, outage time.Duration) {
	if !m.reserve() {
		return
	}
	for _, p := range m.processes {
		if p.spec.Role != target {
			continue
		}
		m.endProcess(p, syscall.SIGKILL)
		s.recoveries.Go(func() {
			defer m.release()
			if sleep(ctx, outage) == nil {
				m.nextIncarnation()
				s.recordFailure(m.start(p))
				s.recordFaultEnd(m.name)
			}
		})
	}
}

// rollingRestart shuts down the machines gracefully and restarts them, one after the other.
func (s *system) rollingRestart(ctx context.Context, machines []*machine) error {
	for _, m := range machines {
		if !m.reserve() {
			continue
		}
		m.shutDown()
		err := m.restart(true)
		m.release()
		if err != nil {
			return err
		}
		if err := sleep(ctx, shortOutage); err != nil {
			return err
		}
	}
	return nil
}

// pauseMachine pauses a machine and resumes it in the background after the outage.
func (s *system) pauseMachine(ctx context.Context, m *machine, outage time.Duration) {
	if m == nil || !m.reserve() {
		return
	}
	m.pause()
	s.recoveries.Go(func() {
		defer m.release()
		sleep(ctx, outage)
		m.resume()
	})
}

// partitionFor partitions a machine from the other core machines for the length of the outage. It stays connected to workers,
// the platform, clients and operators.
func (s *system) partitionFor(ctx context.Context, m *machine, outage time.Duration, bothWays bool) {
	if m == nil || !m.reserve() {
		return
	}
	var others []*machine
	for _, other := range s.core {
		if other != m {
			others = append(others, other)
		}
	}
	s.partition(m, others, bothWays)
	s.recoveries.Go(func() {
		defer m.release()
		sleep(ctx, outage)
		s.heal(m, others, bothWays)
	})
}

// machineNamed returns the machine with a name; nil if there is none.
func (s *system) machineNamed(name string) *machine {
	for _, m := range s.machines() {
		if m.name == name {
			return m
		}
	}
	return nil
}
