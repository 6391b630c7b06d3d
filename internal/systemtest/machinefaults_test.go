package systemtest

import (
	"context"
	"syscall"
	"time"
)

// take reserves a machine for a fault; it is false while another one holds it.
func (m *machine) take() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return false
	}
	m.down = true
	return true
}

func (m *machine) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
}

// crashMachine kills a machine at once and brings it back after a while, perhaps with an empty disk.
func (s *system) crashMachine(ctx context.Context, m *machine, away time.Duration, wipe bool) {
	if m == nil || !m.take() {
		return
	}
	m.kill()
	if wipe {
		s.fail(m.wipe())
	}
	s.repairs.Go(func() {
		defer m.release()
		if pause(ctx, away) == nil {
			s.fail(m.restart(false))
		}
	})
}

// crashProcess kills one process of a machine at once and brings it back after a while.
func (s *system) crashProcess(ctx context.Context, m *machine, of role, away time.Duration) {
	if !m.take() {
		return
	}
	for _, p := range m.processes {
		if p.spec.Role != of {
			continue
		}
		m.end(p, syscall.SIGKILL)
		s.repairs.Go(func() {
			defer m.release()
			if pause(ctx, away) == nil {
				m.addLife()
				s.fail(m.start(p))
				s.finish(m.name)
			}
		})
	}
}

// roll stops the machines in order and starts them again, one after the other.
func (s *system) roll(ctx context.Context, machines []*machine) error {
	for _, m := range machines {
		if !m.take() {
			continue
		}
		m.shutDown()
		err := m.restart(true)
		m.release()
		if err != nil {
			return err
		}
		if err := pause(ctx, shortly); err != nil {
			return err
		}
	}
	return nil
}

// stopMachine freezes a machine and wakes it after a while.
func (s *system) stopMachine(ctx context.Context, m *machine, away time.Duration) {
	if m == nil || !m.take() {
		return
	}
	m.freeze()
	s.repairs.Go(func() {
		defer m.release()
		pause(ctx, away)
		m.thaw()
	})
}

// cutOff cuts a machine off from the other core machines for a while. Workers, platform and operators still reach it.
func (s *system) cutOff(ctx context.Context, m *machine, away time.Duration, bothWays bool) {
	if m == nil || !m.take() {
		return
	}
	var others []*machine
	for _, other := range s.core {
		if other != m {
			others = append(others, other)
		}
	}
	s.cut(m, others, bothWays)
	s.repairs.Go(func() {
		defer m.release()
		pause(ctx, away)
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
