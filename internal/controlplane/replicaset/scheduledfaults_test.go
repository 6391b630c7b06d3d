package replicaset_test

import (
	"fmt"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/storage"
)

// openEndedFailure is how long a machine counts as failed unless recordRecovery ends the fault earlier.
const openEndedFailure = 24 * time.Hour

// injectFault starts a random fault, unless more than the tolerated number of machines would then have failed. Faults may
// overlap.
func (s *faultSchedule) injectFault() {
	kind, duration := s.random.IntN(10), time.Duration(s.random.Int64N(int64(3*time.Second)))
	if kind >= 7 {
		s.replaceMachine(kind, duration)
		return
	}
	coordinator := s.pickMemberToFail()
	if coordinator == nil {
		return
	}
	s.logEvent("%s: fault %d for %v", coordinator.address, kind, duration)
	s.activeFaults.Go(func() {
		s.applyFault(coordinator, kind, duration)
		s.recordRecovery(coordinator.address)
	})
}

// applyFault applies a fault to a machine for a duration. The kinds are a restart with its disk (0), a restart without its disk
// (1), a partition of incoming messages (2), of outgoing messages (3) or in both directions (4), delayed messages (5), and a full
// disk (6).
func (s *faultSchedule) applyFault(coordinator *testCoordinator, kind int, duration time.Duration) {
	switch kind {
	case 0:
		s.stop(coordinator)
		<-time.After(duration)
		s.cluster.start(coordinator.address, coordinator.zone, coordinator.disk, false)
	case 1:
		s.stop(coordinator)
		<-time.After(duration)
		s.cluster.start(coordinator.address, coordinator.zone, storage.NewMemory(), false)
	case 2, 3, 4:
		s.network.PartitionOneWay(coordinator.address, kind != 2, kind != 3)
		<-time.After(duration)
		s.network.PartitionOneWay(coordinator.address, false, false)
	case 5:
		s.network.Delay(coordinator.address, duration)
		<-time.After(duration)
	case 6:
		coordinator.disk.Fail(errDiskFull)
		<-time.After(duration)
		coordinator.disk.Fail(nil)
	}
}

// replaceMachine replaces a machine by a new one. An unplanned replacement starts the new machine after the old one was lost
// permanently. A planned one starts the new machine first, and then stops the old one gracefully.
func (s *faultSchedule) replaceMachine(kind int, duration time.Duration) {
	if !s.beginReplacement() {
		return
	}
	planned := kind > 7
	var coordinator *testCoordinator
	if planned {
		coordinator = s.pickHealthyMember()
	} else {
		coordinator = s.pickMemberToFail()
	}
	if coordinator == nil {
		s.endReplacement()
		return
	}
	s.logEvent("%s is replaced, planned %v, wait %v", coordinator.address, planned, duration)
	diskLoss, index := s.random.IntN(3), s.random.IntN(len(s.seenViews.newest.Members))
	s.activeFaults.Go(func() {
		defer s.endReplacement()
		if planned {
			s.startJoiningMember()
			<-time.After(catchUpTime + duration/4)
			s.logEvent("%s is to stop, joining members %v, view %v", coordinator.address, coordinator.manager.HasProposableMembers(), coordinator.manager.View().Members)
			if diskLoss == 1 {
				s.loseDisk(coordinator, index, duration)
			}
			keepsQuorum := s.stopGracefully(coordinator)
			s.logEvent("%s has stopped, quorum kept %v", coordinator.address, keepsQuorum)
			if diskLoss == 2 {
				s.loseDisk(coordinator, index, duration)
			}
			if !keepsQuorum {
				s.restartAfterEarlyStop(coordinator)
			}
			return
		}
		s.stop(coordinator)
		<-time.After(duration)
		s.startJoiningMember()
		s.recordRecovery(coordinator.address)
		<-time.After(catchUpTime)
	})
}

// earlyStopRestartDelay is the delay before the restart of a machine that had to stop too early.
const earlyStopRestartDelay = time.Second

// restartAfterEarlyStop restarts a machine on its disk, as the operators' documentation requires, after it had to stop although no
// quorum was known to stay. This may happen only on a lossy network. On a reliable one it is a violation.
func (s *faultSchedule) restartAfterEarlyStop(coordinator *testCoordinator) {
	if !s.lossy {
		s.addViolation("%s had to stop though no quorum was known to stay", coordinator.address)
		return
	}
	s.scheduleMutex.Lock()
	s.failedUntil[coordinator.address] = time.Now().Add(openEndedFailure)
	s.scheduleMutex.Unlock()
	<-time.After(earlyStopRestartDelay)
	s.cluster.start(coordinator.address, coordinator.zone, coordinator.disk, false)
	s.recordRecovery(coordinator.address)
}

// lossyCatchUpTime is the time within which a machine must catch up on a lossy network.
const lossyCatchUpTime = 20 * time.Second

// awaitCatchUp waits until all members may vote except those that have failed because of other faults of the schedule.
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

// countMembers returns the number of members of the newest view that may vote, and the number of machines that count as failed,
// not counting the one at address.
func (s *faultSchedule) countMembers(address string) (complete, failedOthers int) {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
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

// loseDisk stops a member other than the departing one and restarts it without its disk, unless more than the tolerated number of
// machines would then have failed.
func (s *faultSchedule) loseDisk(departing *testCoordinator, index int, duration time.Duration) {
	s.scheduleMutex.Lock()
	address := s.seenViews.newest.Members[index%len(s.seenViews.newest.Members)]
	s.scheduleMutex.Unlock()
	if address == departing.address || !s.recordFailure(address) {
		return
	}
	coordinator := s.coordinatorAt(address)
	if coordinator == nil {
		s.recordRecovery(address)
		return
	}
	s.logEvent("%s loses its disk, for %v", address, duration)
	s.stop(coordinator)
	s.activeFaults.Go(func() {
		<-time.After(duration)
		s.cluster.start(coordinator.address, coordinator.zone, storage.NewMemory(), false)
		s.recordRecovery(address)
	})
}

// beginReplacement records that a replacement is in progress. It returns false if one already is.
func (s *faultSchedule) beginReplacement() bool {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	if s.replacing {
		return false
	}
	s.replacing = true
	return true
}

func (s *faultSchedule) endReplacement() {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	s.replacing = false
}

// startJoiningMember starts a new machine as a joining member, with the newest known members as seeds.
func (s *faultSchedule) startJoiningMember() {
	s.scheduleMutex.Lock()
	address := fmt.Sprintf("core-%d", s.machineCount)
	s.machineCount++
	s.seeds = slices.Clone(s.seenViews.newest.Members)
	s.scheduleMutex.Unlock()
	s.logEvent("%s starts", address)
	s.cluster.start(address, "elsewhere", storage.NewMemory(), false)
}

// pickHealthyMember picks a random member. It returns nil if that member counts as failed or is not running.
func (s *faultSchedule) pickHealthyMember() *testCoordinator {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	address := s.seenViews.newest.Members[s.random.IntN(len(s.seenViews.newest.Members))]
	if time.Now().Before(s.failedUntil[address]) {
		return nil
	}
	return s.coordinatorAt(address)
}

// pickMemberToFail picks a random member and records it as failed. It returns nil if that member cannot fail now, or the tolerated
// number of machines has already failed.
func (s *faultSchedule) pickMemberToFail() *testCoordinator {
	coordinator := s.pickHealthyMember()
	if coordinator == nil || coordinator.manager.Departing() || !s.recordFailure(coordinator.address) {
		return nil
	}
	return coordinator
}

// recordFailure records that a machine has failed. It returns false if the machine already counts as failed, or the tolerated
// number of machines has already failed.
func (s *faultSchedule) recordFailure(address string) bool {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
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

// recordRecovery ends a fault. The machine still counts as failed for catchUpTime. On a lossy network nothing is guaranteed within
// that time, so recordRecovery first waits until the machine has caught up.
func (s *faultSchedule) recordRecovery(address string) {
	if s.lossy {
		s.awaitCatchUp(address)
	}
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	s.failedUntil[address] = time.Now().Add(catchUpTime)
	s.events = append(s.events, fmt.Sprintf("%v: %s has recovered", time.Since(s.start), address))
}

// logEvent adds an event to the report.
func (s *faultSchedule) logEvent(format string, values ...any) {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	s.events = append(s.events, fmt.Sprintf("%v: ", time.Since(s.start))+fmt.Sprintf(format, values...))
}
