package replicaset_test

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// untilRecovered is how long a machine counts as failed whose recovery is open.
const untilRecovered = 24 * time.Hour

// injectFault begins one fault, if no more than the tolerated number of machines have then failed. Faults overlap.
func (m *faultSchedule) injectFault() {
	kind, duration := m.random.IntN(10), time.Duration(m.random.Int64N(int64(3*time.Second)))
	if kind >= 7 {
		m.replaceOne(kind, duration)
		return
	}
	p := m.failOne()
	if p == nil {
		return
	}
	m.logEvent("%s: fault %d for %v", p.address, kind, duration)
	m.faults.Go(func() {
		m.applyFault(p, kind, duration)
		m.markRecovered(p.address)
	})
}

// applyFault lets a machine have a fault for a time.
func (m *faultSchedule) applyFault(p *coreNode, kind int, duration time.Duration) {
	switch kind {
	case 0:
		m.stop(p)
		<-time.After(duration)
		m.cluster.start(p.address, p.zone, p.disk, false)
	case 1:
		m.stop(p)
		<-time.After(duration)
		m.cluster.start(p.address, p.zone, storage.NewMemory(), false)
	case 2, 3, 4:
		m.network.PartitionOneWay(p.address, kind != 2, kind != 3)
		<-time.After(duration)
		m.network.PartitionOneWay(p.address, false, false)
	case 5:
		m.network.Delay(p.address, duration)
		<-time.After(duration)
	case 6:
		p.disk.Fail(errFull)
		<-time.After(duration)
		p.disk.Fail(nil)
	}
}

// replaceOne replaces a machine by a new one: unplanned, after it was lost for good, or planned, where the new one starts
// first and the old one is then stopped gracefully.
func (m *faultSchedule) replaceOne(kind int, duration time.Duration) {
	if !m.beginReplacement() {
		return
	}
	planned := kind > 7
	var p *coreNode
	if planned {
		p = m.anyHealthy()
	} else {
		p = m.failOne()
	}
	if p == nil {
		m.endReplacement()
		return
	}
	m.logEvent("%s is replaced, planned %v, wait %v", p.address, planned, duration)
	diskLoss, index := m.random.IntN(3), m.random.IntN(len(m.views.newest.Members))
	m.faults.Go(func() {
		defer m.endReplacement()
		if planned {
			m.startJoiningMember()
			<-time.After(catchUpTime + duration/4)
			m.logEvent("%s is to stop, joining members %v, view %v", p.address, p.manager.HasJoiningMembers(), p.manager.View().Members)
			if diskLoss == 1 {
				m.loseDisk(p, index, duration)
			}
			m.stopGracefully(p)
			m.logEvent("%s has stopped", p.address)
			if diskLoss == 2 {
				m.loseDisk(p, index, duration)
			}
			return
		}
		m.stop(p)
		<-time.After(duration)
		m.startJoiningMember()
		m.markRecovered(p.address)
		<-time.After(catchUpTime)
	})
}

// loseDisk stops another member than the departing one and restarts it without its disk, unless that is more than is tolerated.
func (m *faultSchedule) loseDisk(departing *coreNode, index int, duration time.Duration) {
	m.state.Lock()
	address := m.views.newest.Members[index%len(m.views.newest.Members)]
	m.state.Unlock()
	if address == departing.address || !m.markFailed(address) {
		return
	}
	p := m.at(address)
	if p == nil {
		m.markRecovered(address)
		return
	}
	m.logEvent("%s loses its disk, for %v", address, duration)
	m.stop(p)
	m.faults.Go(func() {
		<-time.After(duration)
		m.cluster.start(p.address, p.zone, storage.NewMemory(), false)
		m.markRecovered(address)
	})
}

// beginReplacement returns false while another replacement is in progress.
func (m *faultSchedule) beginReplacement() bool {
	m.state.Lock()
	defer m.state.Unlock()
	if m.replacing {
		return false
	}
	m.replacing = true
	return true
}

func (m *faultSchedule) endReplacement() {
	m.state.Lock()
	defer m.state.Unlock()
	m.replacing = false
}

// startJoiningMember starts a new machine.
func (m *faultSchedule) startJoiningMember() {
	m.state.Lock()
	address := fmt.Sprintf("core-%d", m.machines)
	m.machines++
	m.seeds = slices.Clone(m.views.newest.Members)
	m.state.Unlock()
	m.logEvent("%s starts", address)
	m.cluster.start(address, "elsewhere", storage.NewMemory(), false)
}

// anyHealthy returns a running member that does not count as failed; nil where chance picked another.
func (m *faultSchedule) anyHealthy() *coreNode {
	m.state.Lock()
	defer m.state.Unlock()
	address := m.views.newest.Members[m.random.IntN(len(m.views.newest.Members))]
	if time.Now().Before(m.failedUntil[address]) {
		return nil
	}
	return m.at(address)
}

// failOne picks a member, and counts it as failed from now on; nil where that is one more than is tolerated.
func (m *faultSchedule) failOne() *coreNode {
	p := m.anyHealthy()
	if p == nil || p.manager.Departing() || !m.markFailed(p.address) {
		return nil
	}
	return p
}

// markFailed counts a machine as failed from now on; false where it is already, or that is one more than is tolerated.
func (m *faultSchedule) markFailed(address string) bool {
	m.state.Lock()
	defer m.state.Unlock()
	failed := 0
	for _, until := range m.failedUntil {
		if time.Now().Before(until) {
			failed++
		}
	}
	if failed >= m.tolerated || time.Now().Before(m.failedUntil[address]) {
		return false
	}
	m.failedUntil[address] = time.Now().Add(untilRecovered)
	return true
}

// markRecovered ends a fault: the machine counts as failed until it has had the time to catch up.
func (m *faultSchedule) markRecovered(address string) {
	m.state.Lock()
	defer m.state.Unlock()
	m.failedUntil[address] = time.Now().Add(catchUpTime)
	m.events = append(m.events, fmt.Sprintf("%v: %s has recovered", time.Since(m.start), address))
}

// logEvent adds an event to the report.
func (m *faultSchedule) logEvent(format string, values ...any) {
	m.state.Lock()
	defer m.state.Unlock()
	m.events = append(m.events, fmt.Sprintf("%v: ", time.Since(m.start))+fmt.Sprintf(format, values...))
}
