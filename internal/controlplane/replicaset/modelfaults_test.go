package replicaset_test

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// foreverLost is until when a machine counts as lost that is not back yet.
const foreverLost = 24 * time.Hour

// fault begins one fault, if no more than the tolerated number of machines is then lost. Faults overlap.
func (m *model) fault() {
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
	aim, place := m.random.IntN(3), m.random.IntN(len(m.newest.Members))
	m.faults.Go(func() {
		defer m.endReplacement()
		if planned {
			m.joiningMember()
			<-time.After(catchUp + span/4)
			m.tell("%s is told to stop, newcomers wait %v, view %v", p.address, p.manager.JoiningMembersWait(), p.manager.View().Members)
			if aim == 1 {
				m.loseDisk(p, place, span)
			}
			m.tellToStop(p)
			m.tell("%s has stopped", p.address)
			if aim == 2 {
				m.loseDisk(p, place, span)
			}
			return
		}
		m.stop(p)
		<-time.After(span)
		m.joiningMember()
		m.back(p.address)
		<-time.After(catchUp)
	})
}

// loseDisk lets another member than the one that leaves be down and come back without its disk, unless that is more than is
// tolerated.
func (m *model) loseDisk(leaving *core, place int, span time.Duration) {
	m.state.Lock()
	address := m.newest.Members[place%len(m.newest.Members)]
	m.state.Unlock()
	if address == leaving.address || !m.lose(address) {
		return
	}
	p := m.at(address)
	if p == nil {
		m.back(address)
		return
	}
	m.tell("%s loses its disk, for %v", address, span)
	m.stop(p)
	m.faults.Go(func() {
		<-time.After(span)
		m.cluster.start(p.address, p.zone, storage.NewMemory(), false)
		m.back(address)
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

func (m *model) joiningMember() {
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
	if p == nil || p.manager.Departing() || !m.lose(p.address) {
		return nil
	}
	return p
}

// lose counts a machine as lost from now on; false where it is lost already, or that is one more than is tolerated.
func (m *model) lose(address string) bool {
	m.state.Lock()
	defer m.state.Unlock()
	lost := 0
	for _, until := range m.lostUntil {
		if time.Now().Before(until) {
			lost++
		}
	}
	if lost >= m.tolerated || time.Now().Before(m.lostUntil[address]) {
		return false
	}
	m.lostUntil[address] = time.Now().Add(foreverLost)
	return true
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
