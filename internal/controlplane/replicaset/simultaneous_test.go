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

// subset is a set of the first machines of a schedule, a bit each.
type machineSet uint

func (s machineSet) has(i int) bool { return s&(1<<i) != 0 }

func (s machineSet) size() int { return bits.OnesCount(uint(s)) }

// simultaneousFaults are two faults that each strike several machines at one moment.
type simultaneousFaults struct {
	size          int
	first, second machineSet
	gap           time.Duration // from the first one to the second
	fillsDisks    bool          // the first one fills disks; otherwise both of them are losses of power
}

const (
	outageDuration       = time.Second             // of a machine without power
	fullDiskDuration     = 2500 * time.Millisecond // for which disks are full
	acknowledgementDelay = 300 * time.Millisecond  // after which what was written before the disks were full is acknowledged
)

func (f simultaneousFaults) String() string {
	return fmt.Sprintf("%d machines, %0*b then %0*b after %v, full disks %v", f.size, f.size, f.first, f.size, f.second, f.gap, f.fillsDisks)
}

// powerLosses are all pairs of subsets for three machines, and for five all subsets, each followed by itself, by the others and by
// all. The second one strikes while the first is still down, as its machines start, and while they recover.
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

// fullDisks are all subsets whose disks are full, with and without a loss of power meanwhile of the same, of the others and of all.
func fullDiskFaults() []simultaneousFaults {
	var all []simultaneousFaults
	for _, size := range []int{3, 5} {
		every := machineSet(1<<size - 1)
		for first := machineSet(1); first <= every; first++ {
			for _, second := range []machineSet{0, first, ^first & every, every} {
				all = append(all, simultaneousFaults{size: size, first: first, second: second, gap: outageDuration, fillsDisks: true})
			}
		}
	}
	return all
}

// playSimultaneous plays the faults, and returns the schedule with its violations.
func runSimultaneousFaults(t *testing.T, faults simultaneousFaults) *faultSchedule {
	t.Helper()
	seed := uint64(faults.first)<<8 + uint64(faults.second)
	return runFaults(t, seed, faults.size, ruleMutation{}, false, func(s *faultSchedule, ctx context.Context) {
		<-time.After(time.Second)
		s.markAllFailed(faults.size)
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
			s.markRecovered(address)
		}
		<-time.After(catchUpTime)
	})
}

// markAllFailed lets no operation begin until the faults are over; those under way go on.
func (s *faultSchedule) markAllFailed(size int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, address := range addresses(size) {
		s.failedUntil[address] = time.Now().Add(openEndedFailure)
	}
}

// losePower stops machines at one moment, and starts them again on their disks at another.
func (s *faultSchedule) losePower(machines machineSet) {
	var stopped []*testCoordinator
	for i, address := range addresses(s.size) {
		if p := s.coordinatorAt(address); machines.has(i) && p != nil && s.stop(p) {
			stopped = append(stopped, p)
		}
	}
	s.activeFaults.Go(func() {
		<-time.After(outageDuration)
		for _, p := range stopped {
			s.cluster.start(p.address, p.zone, p.disk, false)
		}
	})
}

// fillDisks lets disks be full for a while. Where too few others have room, nothing may be acknowledged meanwhile; what is there stays
// readable.
func (s *faultSchedule) fillDisks(faults simultaneousFaults) {
	var affected []*testCoordinator
	for i, address := range addresses(faults.size) {
		if faults.first.has(i) {
			affected = append(affected, s.coordinatorAt(address))
		}
	}
	for _, p := range affected {
		p.disk.Fail(errDiskFull)
	}
	<-time.After(acknowledgementDelay)
	before := s.groupCount()
	if faults.second == 0 {
		if value := s.read(addresses(faults.size)[0]); !containsAll(value, s.acknowledgedTokens()) {
			s.addViolation("with full disks a read returns %q", value)
		}
	}
	<-time.After(fullDiskDuration - acknowledgementDelay)
	if quorum := faults.size/2 + 1; faults.size-faults.first.size() < quorum && s.groupCount() != before {
		s.addViolation("%d entries were acknowledged while %d of %d disks were full", s.groupCount()-before, faults.first.size(), faults.size)
	}
	for _, p := range affected {
		p.disk.Fail(nil)
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

// groupCount is the number of entries of the group that were acknowledged.
func (s *faultSchedule) groupCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.groupAcknowledged)
}

// everyFewUnderRace leaves out all but each sixteenth schedule under the race detector, where each takes many times as long.
const raceScheduleStride = 16

// playAll plays schedules in parallel and returns the violations.
func runAllSimultaneousFaults(t *testing.T, all []simultaneousFaults) (found int64) {
	var violations atomic.Int64
	t.Run("schedules", func(t *testing.T) {
		for worker := range scheduleWorkers {
			t.Run(fmt.Sprint(worker), func(t *testing.T) {
				t.Parallel()
				for i := worker; i < len(all); i += scheduleWorkers {
					if raceflag.On && i%raceScheduleStride != 0 {
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

// Any machines may lose power at one moment, whatever number is tolerated, and again while they recover. Nothing acknowledged is lost,
// and writes succeed once they are back.
func TestNoWriteIsLostWhenAnySubsetLosesPower(t *testing.T) {
	found := runAllSimultaneousFaults(t, powerLossFaults())
	convey.Convey("No subset of three or of five loses anything", t, func() { convey.So(found, convey.ShouldEqual, 0) })
}

// A machine whose disk is full votes for nothing, and what it has stays readable. It goes on by itself once there is room.
func TestNoWriteIsLostWhenAnySubsetOfDisksIsFull(t *testing.T) {
	found := runAllSimultaneousFaults(t, fullDiskFaults())
	convey.Convey("No subset of three or of five loses anything, or acknowledges what is not stored", t, func() {
		convey.So(found, convey.ShouldEqual, 0)
	})
}
