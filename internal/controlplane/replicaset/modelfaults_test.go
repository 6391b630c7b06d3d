package replicaset_test

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// foreverLost is until when a machine counts as lost that is not back yet.
const foreverLost = 24 * time.Hour

// trouble begins one fault, if no more than the tolerated number of machines is then lost. Faults overlap.
func (m *model) trouble() {
	kind, span := m.random.IntN(10), time.Duration(m.random.Int64N(int64(3*time.Second)))
	if kind >= 7 {
		m.replaceOne(kind, span)
		return
	}
	p := m.loseOne()
	if p == nil {
		return
	}
	m.tell("%s: fault %d for %v", p.address, kind, span)
	m.faults.Go(func() {
		m.suffer(p, kind, span)
		m.back(p.address)
	})
}

// suffer lets a machine have a fault for a time.
func (m *model) suffer(p *core, kind int, span time.Duration) {
	switch kind {
	case 0:
		m.stop(p)
		<-time.After(span)
		m.cluster.start(p.address, p.zone, p.disk, false)
	case 1:
		m.stop(p)
		<-time.After(span)
		m.cluster.start(p.address, p.zone, storage.NewMemory(), false)
	case 2, 3, 4:
		m.network.CutOneWay(p.address, kind != 2, kind != 3)
		<-time.After(span)
		m.network.CutOneWay(p.address, false, false)
	case 5:
		m.network.Hold(p.address, span)
		<-time.After(span)
	case 6:
		p.disk.Fail(errFull)
		<-time.After(span)
		p.disk.Fail(nil)
	}
}

// replaceOne replaces a machine by a new one: unplanned, after it was lost for good, or planned, where the new one comes
// first and the old one is then told to stop.
func (m *model) replaceOne(kind int, span time.Duration) {
	if !m.beginReplacement() {
		return
	}
	planned := kind > 7
	var p *core
	if planned {
		p = m.anyWell()
	} else {
		p = m.loseOne()
	}
	if p == nil {
		m.endReplacement()
		return
	}
	m.tell("%s is replaced, planned %v, wait %v", p.address, planned, span)
	m.faults.Go(func() {
		defer m.endReplacement()
		if planned {
			m.newcomer()
			<-time.After(catchUp + span/4)
			m.tell("%s is told to stop, newcomers wait %v, view %v", p.address, p.manager.NewcomersWait(), p.manager.View().Members)
			m.tellToStop(p)
			m.tell("%s has stopped", p.address)
			return
		}
		m.stop(p)
		<-time.After(span)
		m.newcomer()
		m.back(p.address)
		<-time.After(catchUp)
	})
}

func (m *model) beginReplacement() bool {
	m.state.Lock()
	defer m.state.Unlock()
	if m.replacing {
		return false
	}
	m.replacing = true
	return true
}

func (m *model) endReplacement() {
	m.state.Lock()
	defer m.state.Unlock()
	m.replacing = false
}

func (m *model) newcomer() {
	m.state.Lock()
	address := fmt.Sprintf("core-%d", m.machines)
	m.machines++
	m.seeds = slices.Clone(m.newest.Members)
	m.state.Unlock()
	m.tell("%s comes", address)
	m.cluster.start(address, "elsewhere", storage.NewMemory(), false)
}

// anyWell returns a running member that does not count as lost; nil where chance picked another.
func (m *model) anyWell() *core {
	m.state.Lock()
	defer m.state.Unlock()
	address := m.newest.Members[m.random.IntN(len(m.newest.Members))]
	if time.Now().Before(m.lostUntil[address]) {
		return nil
	}
	return m.at(address)
}

// loseOne picks a member, and counts it as lost from now on; nil where that is one more than is tolerated.
func (m *model) loseOne() *core {
	p := m.anyWell()
	if p == nil || p.manager.Departing() {
		return nil
	}
	m.state.Lock()
	defer m.state.Unlock()
	lost := 0
	for _, until := range m.lostUntil {
		if time.Now().Before(until) {
			lost++
		}
	}
	if lost >= m.tolerated {
		return nil
	}
	m.lostUntil[p.address] = time.Now().Add(foreverLost)
	return p
}

// back ends a fault: the machine counts as lost until it has had the time to catch up.
func (m *model) back(address string) {
	m.state.Lock()
	defer m.state.Unlock()
	m.lostUntil[address] = time.Now().Add(catchUp)
	m.told = append(m.told, fmt.Sprintf("%v: %s is back", time.Since(m.start), address))
}

func (m *model) tell(format string, values ...any) {
	m.state.Lock()
	defer m.state.Unlock()
	m.told = append(m.told, fmt.Sprintf("%v: ", time.Since(m.start))+fmt.Sprintf(format, values...))
}
