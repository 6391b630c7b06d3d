package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
	"puffinlink.example/puffinlink/internal/virtualtime"
)

// Environment variables that control the simulation.
const (
	schedulesVariable = "ORDER_SCHEDULES" // number of schedules to simulate
	seedVariable      = "ORDER_SEED"      // simulate only the schedule of this seed
)

// Extent of a simulation, in virtual time.
const (
	operatorCount    = 3
	faultTime        = 6 * time.Second
	maxFaultInterval = 700 * time.Millisecond // between two faults
	maxFaultDuration = 2500 * time.Millisecond
	recoveryTime     = 30 * time.Second // from the end of all faults until the last answer
	drainTime        = 10 * time.Second
)

// simulation is one run of a cluster with operators and faults. The seed determines its schedule.
type simulation struct {
	cluster          *simulatedCluster
	checker          *checker
	random           *rand.Rand
	membersStarted   int // number of members started so far
	replacements     uint64
	faultsInProgress sync.WaitGroup // faults that have not ended yet
}

// simulate runs operators while faults are injected into members, and checks every answer.
func simulate(t *testing.T, seed uint64) (s *simulation) {
	virtualtime.Test(t, func(t *testing.T) {
		memberCount := 3 + int(seed%2)*2
		s = &simulation{cluster: newSimulatedCluster(t, seed, memberCount), checker: newChecker(), random: rand.New(rand.NewPCG(seed, 0)), membersStarted: memberCount}
		ctx, cancel := context.WithTimeout(context.Background(), faultTime)
		deadline, cancelDeadline := context.WithTimeout(context.Background(), faultTime+recoveryTime)
		var running sync.WaitGroup
		for number := range operatorCount {
			o := &operator{number: number, cluster: s.cluster, checker: s.checker, random: rand.New(rand.NewPCG(seed, uint64(number)+1))}
			running.Go(func() { o.run(ctx, deadline) })
		}
		for ctx.Err() == nil {
			<-time.After(s.randomBelow(maxFaultInterval))
			s.injectFault()
		}
		s.faultsInProgress.Wait()
		s.cluster.network.endFaults()
		running.Wait()
		s.checkFinalState()
		cancel()
		cancelDeadline()
		s.cluster.stopAll()
		<-time.After(drainTime)
	})
	return s
}

func (s *simulation) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound))) + 1
}

// injectFault injects a random fault into a random member.
func (s *simulation) injectFault() {
	members := s.cluster.newestView().Members
	address := members[s.random.IntN(len(members))]
	other := members[s.random.IntN(len(members))]
	process := s.cluster.process(address)
	kind, duration, downtime := s.random.IntN(8), s.randomBelow(maxFaultDuration), s.randomBelow(300*time.Millisecond)
	switch {
	case process == nil:
	case kind == 0:
		s.injectFor(duration, func(on bool) { s.cluster.network.setPartition(address, other, on) })
	case kind == 1:
		s.injectFor(duration, func(on bool) { s.isolate(address, members, on) })
	case kind == 2 || kind == 3:
		s.cluster.network.freeze(address)
		s.faultsInProgress.Go(func() { <-time.After(duration); s.cluster.network.unfreeze(address) })
	case kind == 4:
		s.restart(process, downtime, process.disk)
	case kind == 5 && s.cluster.allHealthy():
		s.restart(process, downtime, storage.NewMemory())
	case kind == 6 && s.cluster.allHealthy():
		s.replace(process)
	case kind == 7:
		s.powerLoss(members, downtime)
	}
}

// injectFor starts a fault and ends it after a duration.
func (s *simulation) injectFor(duration time.Duration, fault func(on bool)) {
	fault(true)
	s.faultsInProgress.Go(func() { <-time.After(duration); fault(false) })
}

// isolate partitions a member from the other members, but not from operators.
func (s *simulation) isolate(address string, members []string, isolated bool) {
	for _, member := range members {
		s.cluster.network.setPartition(address, member, isolated)
		s.cluster.network.setPartition(member, address, isolated)
	}
}

// restart kills a process and starts it again with a disk.
func (s *simulation) restart(process *memberProcess, downtime time.Duration, disk *storage.Memory) {
	if s.cluster.stop(process) {
		<-time.After(downtime)
		s.cluster.start(process.address, disk, false)
	}
}

// replace stops a member permanently, and starts a new one that can replace it.
func (s *simulation) replace(process *memberProcess) {
	if s.cluster.stop(process) {
		s.membersStarted++
		s.cluster.start(fmt.Sprintf("core-%d", s.membersStarted), storage.NewMemory(), false)
	}
}

// powerLoss kills all members at once and restarts them with their disks.
func (s *simulation) powerLoss(members []string, downtime time.Duration) {
	var stopped []*memberProcess
	for _, address := range members {
		if m := s.cluster.process(address); s.cluster.stop(m) {
			stopped = append(stopped, m)
		}
	}
	<-time.After(downtime)
	for _, m := range stopped {
		s.cluster.start(m.address, m.disk, false)
	}
}

// checkFinalState checks the version that each member reads, and the newest history of applied updates.
func (s *simulation) checkFinalState() {
	reader := &operator{cluster: s.cluster, checker: s.checker, random: s.random}
	view := s.cluster.newestView()
	s.replacements = view.Version - 1
	for _, address := range view.Members {
		reader.readOnce(address)
	}
	s.checker.checkHistory(s.history(view.Members))
}

// history returns the history of the newest state that a member has cached.
func (s *simulation) history(members []string) []configuration.AppliedUpdate {
	var newest configuration.State
	for _, address := range members {
		if m := s.cluster.process(address); m != nil {
			if state := m.configurator.State(); state.Version > newest.Version {
				newest = state
			}
		}
	}
	return newest.Applied
}

// seedsToSimulate returns the seeds of the schedules to simulate.
func seedsToSimulate(t *testing.T, defaultCount int) []uint64 {
	if text := os.Getenv(seedVariable); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	if text := os.Getenv(schedulesVariable); text != "" {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		defaultCount = count
	}
	var seeds []uint64
	for seed := range uint64(defaultCount) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// report prints the violations in a schedule, and how to repeat the simulation.
func (s *simulation) report(t *testing.T, seed uint64) {
	if len(s.checker.violations) == 0 {
		return
	}
	t.Errorf("repeat the simulation with %s=%d", seedVariable, seed)
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
	for _, line := range s.checker.trace {
		t.Log(line)
	}
}

// Simulates operators while faults are injected. No two updates are confirmed with the same base version or the same version. No
// confirmed update is rejected or lost, no rejected update comes into force, and no read returns an outdated version.
func TestSimulatedOperatorsUpdateLinearizably(t *testing.T) {
	scheduleCount := 2000
	if raceflag.Enabled {
		scheduleCount = 100 // the race detector finds little here, as virtual time leaves little concurrency
	}
	defer debug.SetGCPercent(debug.SetGCPercent(800)) // the heap stays small
	var mutex sync.Mutex
	var failed atomic.Bool
	answers, replaced := 0, uint64(0)
	t.Run("schedules", func(t *testing.T) {
		workers := runtime.GOMAXPROCS(0)
		seeds := seedsToSimulate(t, scheduleCount)
		for worker := range workers {
			t.Run(fmt.Sprintf("worker %d", worker), func(t *testing.T) {
				t.Parallel()
				for index := worker; index < len(seeds) && !failed.Load(); index += workers {
					s := simulate(t, seeds[index])
					s.report(t, seeds[index])
					if t.Failed() {
						failed.Store(true) // one failed schedule is enough to investigate
					}
					mutex.Lock()
					answers += s.checker.answers
					replaced += s.replacements
					mutex.Unlock()
				}
			})
		}
	})
	convey.Convey("Clear answers are received, and members are replaced", t, func() {
		convey.So(answers, convey.ShouldBeGreaterThan, 0)
		convey.So(replaced > 0 || os.Getenv(seedVariable) != "" || os.Getenv(schedulesVariable) != "", convey.ShouldBeTrue)
	})
	t.Logf("%d clear answers, %d members replaced", answers, replaced)
}

func TestSeedReplaysItsSimulation(t *testing.T) {
	convey.Convey("Two simulations of a seed have the same answers at the same times", t, func() {
		for seed := range uint64(8) {
			convey.So(simulate(t, seed).checker.fingerprint(), convey.ShouldEqual, simulate(t, seed).checker.fingerprint())
		}
	})
}
