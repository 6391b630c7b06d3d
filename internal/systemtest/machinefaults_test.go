package systemtest

import (
	"context"
	"syscall"
	"time"
)

// reserve reserves a machine for a fault; it is false while another one holds it.
func (m *machine) reserve() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faulty {
		return false
	}
	m.faulty = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faulty = false
}

// crashMachine kills a machine at once and brings it back after a while, perhaps with an empty disk.
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

// crashProcess kills one process of a machine at once and brings it back after a while.
func (s *system) crashProcess(ctx context.Context, m *machine, of role, outage time.Duration) {
	if !m.reserve() {
		return
	}
	for _, p := range m.processes {
		if p.spec.Role != of {
			continue
		}
		m.endProcess(p, syscall.SIGKILL)
		s.recoveries.Go(func() {
			defer m.release()
			if sleep(ctx, outage) == nil {
				m.nextIncarnation()
				s.recordFailure(m.start(p))
				s.faultEnded(m.name)
			}
		})
	}
}

// rollingRestart shuts the machines down gracefully and restarts them, one after the other.
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

// pauseMachine pauses a machine and resumes it after a while.
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

// partitionFor cuts a machine off from the other core machines for a while. Workers, platform and operators still reach it.
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

// machineNamed finds a machine; nil for what is none.
func (s *system) machineNamed(name string) *machine {
	for _, m := range s.machines() {
		if m.name == name {
			return m
		}
	}
	return nil
}
