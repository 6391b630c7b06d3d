package replicaset_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
)

// Size and durations of a simulation, in simulated time.
const (
	simulationClients  = 3
	simulationDuration = 60 * time.Second
	operationTimeout   = 3 * time.Second
	maxOperationGap    = 400 * time.Millisecond // upper bound of the delay between a client's operations
	maxFaultGap        = 8 * time.Second
	healingDelay       = 10 * time.Second // delay from the end of all faults to the final checks
)

var schedules = flag.Int("schedules", 1, "number of simulated schedules for each number of members")

var simulationFaults = networktest.Faults{
	LossProbability:      0.03,
	DuplicateProbability: 0.05,
	MaxDelay:             20 * time.Millisecond,
	LateProbability:      0.04,
	MaxLateDelay:         2500 * time.Millisecond,
}

// simulation is a cluster with message faults, and with member faults that are injected one after another.
type simulation struct {
	*cluster
	random       *rand.Rand
	history      *history
	machineCount int // number of machines started so far
	partitioned  map[string]bool
	lastFault    time.Time // when the latest fault ended
	seenViews    viewHistory

	conflictingViews     bool // whether two views of the same version were seen
	writableAfterHealing bool // whether the final write to the register succeeded
	finalViews           string
}

// simulate runs clients at all processes. Meanwhile messages are lost, duplicated and delayed, and members are killed,
// partitioned and replaced.
func simulate(t *testing.T, seed uint64, size int, mutation ruleMutation) *simulation {
	t.Helper()
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), history: &history{}, machineCount: size,
		partitioned: make(map[string]bool),
	}
	runInCluster(t, seed, mutation, addresses(size), func(c *cluster) {
		s.cluster = c
		c.network.SetFaults(simulationFaults)
		ctx, cancel := context.WithTimeout(context.Background(), simulationDuration)
		defer cancel()
		var running sync.WaitGroup
		for client := range simulationClients {
			running.Go(func() { s.runClient(ctx.Done(), client, rand.New(rand.NewPCG(seed, uint64(client)+2))) })
		}
		for ctx.Err() == nil {
			s.sleepRandomly(maxFaultGap)
			s.injectFault()
			s.lastFault = time.Now()
			s.observeViews()
		}
		running.Wait()
		s.healAll()
	})
	return s
}

// healAll ends all faults, and then records whether a write to the register succeeds.
func (s *simulation) healAll() {
	s.network.SetFaults(networktest.Faults{})
	<-time.After(healingDelay)
	s.observeViews()
	all := s.runningByAddress()
	for _, p := range all {
		view := p.manager.View()
		s.finalViews += fmt.Sprintf("%s: version %d %v, votes %v; ", p.address, view.Version, view.Members, p.rebuilder.Ready())
	}
	s.writableAfterHealing = len(all) > 0 && s.write(all[0].address, "healed") == nil
}

func (s *simulation) sleepRandomly(bound time.Duration) {
	<-time.After(time.Duration(s.random.Int64N(int64(bound))))
}

// runClient appends to the register and reads it until done is closed.
func (s *simulation) runClient(done <-chan struct{}, client int, random *rand.Rand) {
	for i := 0; !isClosed(done); i++ {
		if all := s.runningByAddress(); len(all) > 0 {
			coordinator := all[random.IntN(len(all))]
			operationCtx, cancel := context.WithTimeout(coordinator.ctx, operationTimeout)
			op := operation{}
			if random.IntN(2) == 0 {
				op.token = fmt.Sprintf("%d-%d.", client, i)
			}
			s.history.perform(operationCtx, client, coordinator.register, op)
			cancel()
		}
		<-time.After(time.Duration(random.Int64N(int64(maxOperationGap))))
	}
}

// observeViews records the views of all processes.
func (s *simulation) observeViews() {
	for _, p := range s.runningCoordinators() {
		if !s.seenViews.record(p.manager.View()) {
			s.conflictingViews = true
		}
	}
}

// injectFault injects one random fault at one member.
func (s *simulation) injectFault() {
	s.observeViews()
	address := s.seenViews.newest.Members[s.random.IntN(len(s.seenViews.newest.Members))]
	coordinator := s.coordinatorAt(address)
	if coordinator == nil {
		return
	}
	switch kind := s.random.IntN(8); {
	case kind < 3 && s.allHealthy():
		s.stop(coordinator)
		s.sleepRandomly(1500 * time.Millisecond)
		s.startJoiningMember()
	case kind == 3 && s.allHealthy():
		s.startJoiningMember()
		s.sleepRandomly(3 * time.Second)
		s.stopGracefully(coordinator)
	case kind == 4 && s.allHealthy():
		s.stop(coordinator)
		s.sleepRandomly(300 * time.Millisecond)
		s.start(address, coordinator.zone, storage.NewMemory(), false)
	case kind == 5:
		s.stop(coordinator)
		s.sleepRandomly(time.Second)
		s.start(address, coordinator.zone, coordinator.disk, false)
	case !s.partitioned[address]:
		s.partition(address)
	}
}

// startJoiningMember starts a joining member unless one is already waiting.
func (s *simulation) startJoiningMember() {
	if waiting := len(s.runningCoordinators()) - len(s.seenViews.newest.Members); waiting > 0 {
		return
	}
	s.machineCount++
	s.seeds = s.seenViews.newest.Members
	s.start(fmt.Sprintf("core-%d", s.machineCount), "elsewhere", storage.NewMemory(), false)
}

// partition isolates a process for a random time. In half of the cases it starts a joining member meanwhile.
func (s *simulation) partition(address string) {
	s.partitioned[address] = true
	s.network.Partition(address, true)
	if s.random.IntN(2) == 0 {
		s.startJoiningMember()
	}
	s.sleepRandomly(5 * time.Second)
	s.network.Partition(address, false)
	delete(s.partitioned, address)
}

// allHealthy reports whether a member may be lost permanently: all members run and may vote, none is partitioned, and they have had
// time to catch up.
func (s *simulation) allHealthy() bool {
	if time.Since(s.lastFault) < catchUpTime {
		return false
	}
	for _, address := range s.seenViews.newest.Members {
		p := s.coordinatorAt(address)
		if p == nil || s.partitioned[address] || !p.rebuilder.Ready() {
			return false
		}
	}
	return true
}

// sizes returns the numbers of members to simulate. Little runs concurrently in simulated time, so one size is enough under the
// race detector.
func sizes() []int {
	if raceflag.Enabled {
		return []int{3}
	}
	return []int{3, 4, 5}
}

func TestRegisterIsLinearizableWhileMembersAreReplaced(t *testing.T) {
	succeeded, replaced := 0, uint64(0)
	for _, size := range sizes() {
		for seed := range uint64(*schedules) {
			s := simulate(t, seed, size, ruleMutation{})
			if checked := s.history.check(); checked != porcupine.Ok {
				t.Fatalf("%d members, seed %d: %d operations are %v", size, seed, len(s.history.operations), checked)
			}
			if s.conflictingViews {
				t.Errorf("%d members, seed %d: two views of one version", size, seed)
			}
			if !s.writableAfterHealing {
				t.Errorf("%d members, seed %d: no progress after the end of all faults: %s", size, seed, s.finalViews)
			}
			succeeded += s.history.succeeded
			replaced += s.seenViews.newest.Version - 1
		}
	}
	convey.Convey("Operations succeed, and members are replaced", t, func() {
		convey.So(succeeded, convey.ShouldBeGreaterThan, 10**schedules)
		convey.So(replaced, convey.ShouldBeGreaterThan, 0)
	})
	t.Logf("%d operations succeeded, %d replacements", succeeded, replaced)
}
