package replicaset_test

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// untilRecovered is how long a machine counts as failed whose recovery is open.
const openEndedFailure = 24 * time.Hour

// injectFault begins one fault, if no more than the tolerated number of machines have then failed. Faults overlap.
func (s *faultSchedule) injectFault() {
	kind, duration := s.random.IntN(10), time.Duration(s.random.Int64N(int64(3*time.Second)))
	if kind >= 7 {
		s.replaceMachine(kind, duration)
		return
	}
	p := s.pickAndMarkFailed()
	if p == nil {
		return
	}
	s.logEvent("%s: fault %d for %v", p.address, kind, duration)
	s.activeFaults.Go(func() {
		s.applyFault(p, kind, duration)
		s.markRecovered(p.address)
	})
}

// applyFault lets a machine have a fault for a time.
func (s *faultSchedule) applyFault(p *testCoordinator, kind int, duration time.Duration) {
	switch kind {
	case 0:
		s.stop(p)
		<-time.After(duration)
		s.cluster.start(p.address, p.zone, p.disk, false)
	case 1:
		s.stop(p)
		<-time.After(duration)
		s.cluster.start(p.address, p.zone, storage.NewMemory(), false)
	case 2, 3, 4:
		s.network.PartitionOneWay(p.address, kind != 2, kind != 3)
		<-time.After(duration)
		s.network.PartitionOneWay(p.address, false, false)
	case 5:
		s.network.Delay(p.address, duration)
		<-time.After(duration)
	case 6:
		p.disk.Fail(errDiskFull)
		<-time.After(duration)
		p.disk.Fail(nil)
	}
}

// replaceOne replaces a machine by a new one: unplanned, after it was lost for good, or planned, where the new one starts
// first and the old one is then stopped gracefully.
func (s *faultSchedule) replaceMachine(kind int, duration time.Duration) {
	if !s.beginReplacement() {
		return
	}
	planned := kind > 7
	var p *testCoordinator
	if planned {
		p = s.pickHealthyMember()
	} else {
		p = s.pickAndMarkFailed()
	}
	if p == nil {
		s.endReplacement()
		return
	}
	s.logEvent("%s is replaced, planned %v, wait %v", p.address, planned, duration)
	diskLoss, index := s.random.IntN(3), s.random.IntN(len(s.seenViews.newest.Members))
	s.activeFaults.Go(func() {
		defer s.endReplacement()
		if planned {
			s.startJoiningMember()
			<-time.After(catchUpTime + duration/4)
			s.logEvent("%s is to stop, joining members %v, view %v", p.address, p.manager.HasJoiningMembers(), p.manager.View().Members)
			if diskLoss == 1 {
				s.loseDisk(p, index, duration)
			}
			keepsQuorum := s.stopGracefully(p)
			s.logEvent("%s has stopped, quorum kept %v", p.address, keepsQuorum)
			if diskLoss == 2 {
				s.loseDisk(p, index, duration)
			}
			if !keepsQuorum {
				s.restartAfterEarlyStop(p)
			}
			return
		}
		s.stop(p)
		<-time.After(duration)
		s.startJoiningMember()
		s.markRecovered(p.address)
		<-time.After(catchUpTime)
	})
}

// restartTime is how long it takes until a machine is started again that had to stop too early.
const earlyStopRestartDelay = time.Second

// startAgain starts a machine on its disk that had to stop while no quorum was known to stay, as the operators' page asks for.
// That may happen where messages are lost, and nowhere else.
func (s *faultSchedule) restartAfterEarlyStop(p *testCoordinator) {
	if !s.lossy {
		s.addViolation("%s had to stop though no quorum was known to stay", p.address)
		return
	}
	s.mutex.Lock()
	s.failedUntil[p.address] = time.Now().Add(openEndedFailure)
	s.mutex.Unlock()
	<-time.After(earlyStopRestartDelay)
	s.cluster.start(p.address, p.zone, p.disk, false)
	s.markRecovered(p.address)
}

// lossyCatchUpTime is how long a machine may take to catch up where messages are lost.
const lossyCatchUpTime = 20 * time.Second

// awaitCatchUp waits until all members may vote but those that other faults of this schedule have taken.
func (s *faultSchedule) awaitCatchUp(address string) {
	for deadline := time.Now().Add(lossyCatchUpTime); ; {
		s.checkViews()
		complete, failedOthers := s.countMembers(address)
		if complete+failedOthers >= s.size {
			return
		}
		if time.Now().After(deadline) {
			s.addViolation("%s has not caught up within %v: %d may vote, %d others failed", address, lossyCatchUpTime, complete, failedOthers)
			return
		}
		<-time.After(observationInterval)
	}
}

// countMembers counts the members of the newest view that may vote, and the machines that count as failed beside one.
func (s *faultSchedule) countMembers(address string) (complete, failedOthers int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, member := range s.seenViews.newest.Members {
		if p := s.coordinatorAt(member); p != nil && p.rebuilder.Ready() && p.manager.View().Has(member) {
			complete++
		}
	}
	for other, until := range s.failedUntil {
		if other != address && time.Now().Before(until) {
			failedOthers++
		}
	}
	return complete, failedOthers
}

// loseDisk stops another member than the departing one and restarts it without its disk, unless that is more than is tolerated.
func (s *faultSchedule) loseDisk(departing *testCoordinator, index int, duration time.Duration) {
	s.mutex.Lock()
	address := s.seenViews.newest.Members[index%len(s.seenViews.newest.Members)]
	s.mutex.Unlock()
	if address == departing.address || !s.markFailed(address) {
		return
	}
	p := s.coordinatorAt(address)
	if p == nil {
		s.markRecovered(address)
		return
	}
	s.logEvent("%s loses its disk, for %v", address, duration)
	s.stop(p)
	s.activeFaults.Go(func() {
		<-time.After(duration)
		s.cluster.start(p.address, p.zone, storage.NewMemory(), false)
		s.markRecovered(address)
	})
}

// beginReplacement returns false while another replacement is in progress.
func (s *faultSchedule) beginReplacement() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.replacing {
		return false
	}
	s.replacing = true
	return true
}

func (s *faultSchedule) endReplacement() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.replacing = false
}

// startJoiningMember starts a new machine.
func (s *faultSchedule) startJoiningMember() {
	s.mutex.Lock()
	address := fmt.Sprintf("core-%d", s.machineCount)
	s.machineCount++
	s.seeds = slices.Clone(s.seenViews.newest.Members)
	s.mutex.Unlock()
	s.logEvent("%s starts", address)
	s.cluster.start(address, "elsewhere", storage.NewMemory(), false)
}

// anyHealthy returns a running member that does not count as failed; nil where chance picked another.
func (s *faultSchedule) pickHealthyMember() *testCoordinator {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	address := s.seenViews.newest.Members[s.random.IntN(len(s.seenViews.newest.Members))]
	if time.Now().Before(s.failedUntil[address]) {
		return nil
	}
	return s.coordinatorAt(address)
}

// failOne picks a member, and counts it as failed from now on; nil where that is one more than is tolerated.
func (s *faultSchedule) pickAndMarkFailed() *testCoordinator {
	p := s.pickHealthyMember()
	if p == nil || p.manager.Departing() || !s.markFailed(p.address) {
		return nil
	}
	return p
}

// markFailed counts a machine as failed from now on; false where it is already, or that is one more than is tolerated.
func (s *faultSchedule) markFailed(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	failed := 0
	for _, until := range s.failedUntil {
		if time.Now().Before(until) {
			failed++
		}
	}
	if failed >= s.tolerated || time.Now().Before(s.failedUntil[address]) {
		return false
	}
	s.failedUntil[address] = time.Now().Add(openEndedFailure)
	return true
}

// markRecovered ends a fault: the machine counts as failed until it has had the time to catch up. Where messages are lost, nothing
// is promised within that time, so that it counts until it has caught up indeed.
func (s *faultSchedule) markRecovered(address string) {
	if s.lossy {
		s.awaitCatchUp(address)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failedUntil[address] = time.Now().Add(catchUpTime)
	s.events = append(s.events, fmt.Sprintf("%v: %s has recovered", time.Since(s.start), address))
}

// logEvent adds an event to the report.
func (s *faultSchedule) logEvent(format string, values ...any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, fmt.Sprintf("%v: ", time.Since(s.start))+fmt.Sprintf(format, values...))
}
