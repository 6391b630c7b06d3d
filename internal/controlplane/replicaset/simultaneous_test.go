package replicaset_test

import (
	"context"
	"fmt"
	"math/bits"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/raceflag"
)

// machineSet is a set of the initial machines of a schedule, with one bit per machine.
type machineSet uint

func (s machineSet) has(i int) bool { return s&(1<<i) != 0 }

func (s machineSet) size() int { return bits.OnesCount(uint(s)) }

// simultaneousFaults describes two faults, each of which affects several machines at the same time.
type simultaneousFaults struct {
	size          int
	first, second machineSet
	gap           time.Duration // time between the two faults
	fillsDisks    bool          // whether the first fault fills disks; otherwise both are power losses
}

const (
	outageDuration       = time.Second             // duration of a power loss
	fullDiskDuration     = 2500 * time.Millisecond // how long disks are full
	acknowledgementDelay = 300 * time.Millisecond  // time after which entries written before the disks were full have been acknowledged
)

func (f simultaneousFaults) String() string {
	return fmt.Sprintf("%d machines, %0*b then %0*b after %v, full disks %v", f.size, f.size, f.first, f.size, f.second, f.gap, f.fillsDisks)
}

// powerLossFaults returns pairs of power losses. For three machines it combines all pairs of subsets. For five machines, each
// subset is followed by the same subset, by its complement and by all machines. The second power loss occurs while the machines
// of the first one are still down, when they start, and while they recover.
func powerLossFaults() []simultaneousFaults {
	var all []simultaneousFaults
	for _, gap := range []time.Duration{outageDuration / 2, outageDuration, outageDuration + 400*time.Millisecond} {
		for first := machineSet(1); first < 1<<3; first++ {
			for second := machineSet(1); second < 1<<3; second++ {
				all = append(all, simultaneousFaults{size: 3, first: first, second: second, gap: gap})
			}
		}
		for first := machineSet(1); first < 1<<5; first++ {
			for _, second := range []machineSet{first, ^first & (1<<5 - 1), 1<<5 - 1} {
				all = append(all, simultaneousFaults{size: 5, first: first, second: second, gap: gap})
			}
		}
	}
	return all
}

// fullDiskFaults returns faults in which the disks of any subset are full. Meanwhile either no machine loses power, or the same
// subset, its complement or all machines do.
func fullDiskFaults() []simultaneousFaults {
	var all []simultaneousFaults
	for _, size := range []int{3, 5} {
		allMachines := machineSet(1<<size - 1)
		for first := machineSet(1); first <= allMachines; first++ {
			for _, second := range []machineSet{0, first, ^first & allMachines, allMachines} {
				all = append(all, simultaneousFaults{size: size, first: first, second: second, gap: outageDuration, fillsDisks: true})
			}
		}
	}
	return all
}

// runSimultaneousFaults runs a schedule with the given faults, and returns it with its violations.
func runSimultaneousFaults(t *testing.T, faults simultaneousFaults) *faultSchedule {
	t.Helper()
	seed := uint64(faults.first)<<8 + uint64(faults.second)
	return runFaults(t, seed, faults.size, ruleMutation{}, false, func(s *faultSchedule, ctx context.Context) {
		<-time.After(time.Second)
		s.recordAllFailed(faults.size)
		if faults.fillsDisks {
			s.activeFaults.Go(func() { s.fillDisks(faults) })
		} else {
			s.losePower(faults.first)
		}
		<-time.After(faults.gap)
		s.losePower(faults.second)
		<-ctx.Done()
		s.activeFaults.Wait()
		for _, address := range addresses(faults.size) {
			s.recordRecovery(address)
		}
		<-time.After(catchUpTime)
	})
}

// recordAllFailed records all machines as failed, which prevents new operations until the faults are over. Operations in progress
// continue.
func (s *faultSchedule) recordAllFailed(size int) {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	for _, address := range addresses(size) {
		s.failedUntil[address] = time.Now().Add(openEndedFailure)
	}
}

// losePower stops several machines at the same time, and restarts them on their disks together after outageDuration.
func (s *faultSchedule) losePower(machines machineSet) {
	var stopped []*testCoordinator
	for i, address := range addresses(s.size) {
		if coordinator := s.coordinatorAt(address); machines.has(i) && coordinator != nil && s.stop(coordinator) {
			stopped = append(stopped, coordinator)
		}
	}
	s.activeFaults.Go(func() {
		<-time.After(outageDuration)
		for _, coordinator := range stopped {
			s.cluster.start(coordinator.address, coordinator.zone, coordinator.disk, false)
		}
	})
}

// fillDisks makes disks full for fullDiskDuration. If too few other disks have space for a quorum, nothing may be acknowledged
// meanwhile. Existing values must stay readable.
func (s *faultSchedule) fillDisks(faults simultaneousFaults) {
	var affected []*testCoordinator
	for i, address := range addresses(faults.size) {
		if faults.first.has(i) {
			affected = append(affected, s.coordinatorAt(address))
		}
	}
	for _, coordinator := range affected {
		coordinator.disk.Fail(errDiskFull)
	}
	<-time.After(acknowledgementDelay)
	acknowledgedBefore := s.groupCount()
	if faults.second == 0 {
		if value := s.read(addresses(faults.size)[0]); !containsAll(value, s.acknowledgedTokens()) {
			s.addViolation("with full disks a read returns %q", value)
		}
	}
	<-time.After(fullDiskDuration - acknowledgementDelay)
	if quorum := faults.size/2 + 1; faults.size-faults.first.size() < quorum && s.groupCount() != acknowledgedBefore {
		s.addViolation("%d entries were acknowledged while %d of %d disks were full", s.groupCount()-acknowledgedBefore, faults.first.size(), faults.size)
	}
	for _, coordinator := range affected {
		coordinator.disk.Fail(nil)
	}
}

func containsAll(value string, tokens []string) bool {
	for _, token := range tokens {
		if !containsToken(value, token) {
			return false
		}
	}
	return true
}

// groupCount returns the number of acknowledged entries of the group.
func (s *faultSchedule) groupCount() int {
	s.scheduleMutex.Lock()
	defer s.scheduleMutex.Unlock()
	return len(s.groupAcknowledged)
}

// raceScheduleStride selects every sixteenth schedule under the race detector, where each takes many times as long.
const raceScheduleStride = 16

// runAllSimultaneousFaults runs the schedules in parallel and returns how many of them had violations.
func runAllSimultaneousFaults(t *testing.T, all []simultaneousFaults) (schedulesWithViolations int64) {
	var violations atomic.Int64
	t.Run("schedules", func(t *testing.T) {
		for worker := range scheduleWorkers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for i := worker; i < len(all); i += scheduleWorkers {
					if raceflag.Enabled && i%raceScheduleStride != 0 {
						continue
					}
					if s := runSimultaneousFaults(t, all[i]); len(s.violations) > 0 {
						violations.Add(1)
						t.Errorf("%v: %s", all[i], s.report())
					}
				}
			})
		}
	})
	return violations.Load()
}

// Any set of machines, also more than the tolerated number, may lose power at the same time, and again during recovery. No
// acknowledged write is lost, and writes succeed after the restart.
func TestNoWriteIsLostWhenAnySubsetLosesPower(t *testing.T) {
	schedulesWithViolations := runAllSimultaneousFaults(t, powerLossFaults())
	convey.Convey("No subset of three or five machines loses an acknowledged write", t, func() { convey.So(schedulesWithViolations, convey.ShouldEqual, 0) })
}

// A machine with a full disk must not vote, its stored values must stay readable, and it must resume by itself once the disk has
// space.
func TestNoWriteIsLostWhenAnySubsetOfDisksIsFull(t *testing.T) {
	schedulesWithViolations := runAllSimultaneousFaults(t, fullDiskFaults())
	convey.Convey("No subset of three or five machines loses an acknowledged write, or acknowledges an entry that is not stored", t, func() {
		convey.So(schedulesWithViolations, convey.ShouldEqual, 0)
	})
}
