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

// Environment variables of the model.
const (
	schedulesVariable = "ORDER_SCHEDULES" // how many schedules are simulated
	seedVariable      = "ORDER_SEED"      // simulates this schedule alone
)

// Extent of a simulation, in simulated time.
const (
	operators        = 3
	faultTime        = 6 * time.Second
	maxFaultInterval = 700 * time.Millisecond // upper bound
	maxFaultDuration = 2500 * time.Millisecond
	healingTime      = 30 * time.Second // from the end of all faults, until the last answer
	drainTime        = 10 * time.Second
)

// simulation is one run of a cluster under faults, with operators. Its schedule follows from a seed.
type simulation struct {
	cluster        *simulatedCluster
	checker        *checker
	random         *rand.Rand
	membersStarted int // started so far
	replacements   uint64
	faultEnds      sync.WaitGroup // of troubles
}

// simulate lets operators work while members have faults, and checks every answer.
func simulate(t *testing.T, seed uint64) (s *simulation) {
	virtualtime.Test(t, func(t *testing.T) {
		size := 3 + int(seed%2)*2
		s = &simulation{cluster: newSimulatedCluster(t, seed, size), checker: newChecker(), random: rand.New(rand.NewPCG(seed, 0)), membersStarted: size}
		ctx, cancel := context.WithTimeout(context.Background(), faultTime)
		last, stop := context.WithTimeout(context.Background(), faultTime+healingTime)
		var working sync.WaitGroup
		for number := range operators {
			o := &operator{number: number, cluster: s.cluster, checker: s.checker, random: rand.New(rand.NewPCG(seed, uint64(number)+1))}
			working.Go(func() { o.work(ctx, last) })
		}
		for ctx.Err() == nil {
			<-time.After(s.randomBelow(maxFaultInterval))
			s.injectFault()
		}
		s.faultEnds.Wait()
		s.cluster.network.heal()
		working.Wait()
		s.checkFinalState()
		cancel()
		stop()
		s.cluster.end()
		<-time.After(drainTime)
	})
	return s
}

func (s *simulation) randomBelow(bound time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(bound))) + 1
}

// injectFault lets one thing happen to a member.
func (s *simulation) injectFault() {
	members := s.cluster.newest().Members
	address := members[s.random.IntN(len(members))]
	other := members[s.random.IntN(len(members))]
	m := s.cluster.process(address)
	kind, duration, down := s.random.IntN(8), s.randomBelow(maxFaultDuration), s.randomBelow(300*time.Millisecond)
	switch {
	case m == nil:
	case kind == 0:
		s.during(duration, func(on bool) { s.cluster.network.partition(address, other, on) })
	case kind == 1:
		s.during(duration, func(on bool) { s.isolate(address, members, on) })
	case kind == 2 || kind == 3:
		s.cluster.network.freeze(address)
		s.faultEnds.Go(func() { <-time.After(duration); s.cluster.network.unfreeze(address) })
	case kind == 4:
		s.restart(m, down, m.disk)
	case kind == 5 && s.cluster.allHealthy():
		s.restart(m, down, storage.NewMemory())
	case kind == 6 && s.cluster.allHealthy():
		s.replace(m)
	case kind == 7:
		s.powerLoss(members, down)
	}
}

// during switches a fault on, and off again after a time.
func (s *simulation) during(duration time.Duration, fault func(on bool)) {
	fault(true)
	s.faultEnds.Go(func() { <-time.After(duration); fault(false) })
}

// isolate partitions a member off from the others, though not from operators.
func (s *simulation) isolate(address string, members []string, on bool) {
	for _, member := range members {
		s.cluster.network.partition(address, member, on)
		s.cluster.network.partition(member, address, on)
	}
}

// restart kills a process and starts it again on a disk.
func (s *simulation) restart(m *memberProcess, down time.Duration, disk *storage.Memory) {
	if s.cluster.stop(m) {
		<-time.After(down)
		s.cluster.start(m.address, disk, false)
	}
}

// replace stops a member for good, and starts one that can replace it.
func (s *simulation) replace(m *memberProcess) {
	if s.cluster.stop(m) {
		s.membersStarted++
		s.cluster.start(fmt.Sprintf("core-%d", s.membersStarted), storage.NewMemory(), false)
	}
}

// powerLoss kills all members at once; their disks are kept.
func (s *simulation) powerLoss(members []string, down time.Duration) {
	var lost []*memberProcess
	for _, address := range members {
		if m := s.cluster.process(address); s.cluster.stop(m) {
			lost = append(lost, m)
		}
	}
	<-time.After(down)
	for _, m := range lost {
		s.cluster.start(m.address, m.disk, false)
	}
}

// checkFinalState checks the end: what each member reads, and the newest history of applied updates.
func (s *simulation) checkFinalState() {
	reader := &operator{cluster: s.cluster, checker: s.checker, random: s.random}
	view := s.cluster.newest()
	s.replacements = view.Version - 1
	for _, address := range view.Members {
		reader.readOnce(address)
	}
	s.checker.checkHistory(s.history(view.Members))
}

// history is that of the newest state that a member has cached.
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

// seeds lists the schedules to simulate.
func seeds(t *testing.T, usual int) []uint64 {
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
		usual = count
	}
	var all []uint64
	for seed := range uint64(usual) {
		all = append(all, seed)
	}
	return all
}

// report prints the violations of a schedule, and how to simulate it again.
func (s *simulation) report(t *testing.T, seed uint64) {
	if len(s.checker.violations) == 0 {
		return
	}
	t.Errorf("simulate it again with %s=%d", seedVariable, seed)
	for _, problem := range s.checker.violations {
		t.Error(problem)
	}
	for _, line := range s.checker.trace {
		t.Log(line)
	}
}

// Under all faults, no two updates are confirmed on top of one version or with one version, nothing that was confirmed is refused
// or lost, nothing that was refused comes into force, and no read returns an outdated version.
func TestSimulatedOperatorsUpdateLinearizably(t *testing.T) {
	usual := 2000
	if raceflag.On {
		usual = 100 // little is concurrent in simulated time
	}
	defer debug.SetGCPercent(debug.SetGCPercent(800)) // little is kept
	var mutex sync.Mutex
	var broken atomic.Bool
	answers, replaced := 0, uint64(0)
	t.Run("schedules", func(t *testing.T) {
		lanes := runtime.GOMAXPROCS(0)
		all := seeds(t, usual)
		for lane := range lanes {
			t.Run(fmt.Sprintf("lane %d", lane), func(t *testing.T) {
				t.Parallel()
				for place := lane; place < len(all) && !broken.Load(); place += lanes {
					s := simulate(t, all[place])
					s.report(t, all[place])
					if t.Failed() {
						broken.Store(true) // one is enough to look into
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
