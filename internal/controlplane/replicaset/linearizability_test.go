package replicaset_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/smartystreets/goconvey/convey"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset/networktest"
	"puffinlink.example/puffinlink/internal/controlplane/storage"
	"puffinlink.example/puffinlink/internal/raceflag"
)

// Extent of a simulation, in simulated time.
const (
	simulationClients = 3
	simulationTime    = 60 * time.Second
	operationTimeout  = 3 * time.Second
	maxOperationGap   = 400 * time.Millisecond // upper bound of the time between a client's operations
	maxFaultGap       = 8 * time.Second
	healingTime       = 10 * time.Second // from the end of all faults
)

var schedules = flag.Int("schedules", 1, "number of simulated schedules for each number of members")

var simulationFaults = networktest.Faults{
	Lose:      0.03,
	Duplicate: 0.05,
	Delay:     20 * time.Millisecond,
	Late:      0.04,
	LateBy:    2500 * time.Millisecond,
}

// simulation is a cluster in trouble.
type simulation struct {
	*cluster
	random      *rand.Rand
	history     *history
	machines    int // started so far
	partitioned map[string]bool
	lastFault   time.Time // since when nothing has happened
	newest      replicaset.View
	views       map[uint64][]string // members of each view seen

	conflictingViews     bool // views were seen
	writableAfterHealing bool // the register could be written at the end
	finalViews           string
}

// simulate runs clients at all processes while messages are lost, doubled and late, and members are killed, cut off and
// replaced.
func simulate(t *testing.T, seed uint64, size int, broken ruleMutant) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), history: &history{}, machines: size,
		partitioned: make(map[string]bool), views: make(map[uint64][]string),
	}
	inCluster(t, seed, broken, addresses(size), func(c *cluster) {
		s.cluster = c
		c.network.SetFaults(simulationFaults)
		ctx, cancel := context.WithTimeout(context.Background(), simulationTime)
		defer cancel()
		var running sync.WaitGroup
		for client := range simulationClients {
			running.Go(func() { s.runClient(ctx, client, rand.New(rand.NewPCG(seed, uint64(client)+2))) })
		}
		for ctx.Err() == nil {
			s.wait(maxFaultGap)
			s.injectFault()
			s.lastFault = time.Now()
			s.observeViews()
		}
		running.Wait()
		s.healAll()
	})
	return s
}

// healAll ends all faults, and notes whether the register can be written then.
func (s *simulation) healAll() {
	s.network.SetFaults(networktest.Faults{})
	<-time.After(healingTime)
	s.observeViews()
	all := s.sorted()
	for _, p := range all {
		view := p.manager.View()
		s.finalViews += fmt.Sprintf("%s: version %d %v, votes %v; ", p.address, view.Version, view.Members, p.rebuilder.Ready())
	}
	s.writableAfterHealing = len(all) > 0 && s.write(all[0].address, "healed") == nil
}

func (s *simulation) wait(bound time.Duration) {
	<-time.After(time.Duration(s.random.Int64N(int64(bound))))
}

func (s *simulation) runClient(ctx context.Context, client int, random *rand.Rand) {
	for i := 0; ctx.Err() == nil; i++ {
		if all := s.sorted(); len(all) > 0 {
			p := all[random.IntN(len(all))]
			limited, cancel := context.WithTimeout(p.ctx, operationTimeout)
			do := operation{}
			if random.IntN(2) == 0 {
				do.token = fmt.Sprintf("%d-%d.", client, i)
			}
			s.history.run(limited, client, p.register, do)
			cancel()
		}
		<-time.After(time.Duration(random.Int64N(int64(maxOperationGap))))
	}
}

// look notes the views of all processes.
func (s *simulation) observeViews() {
	for _, p := range s.all() {
		view := p.manager.View()
		if known, found := s.views[view.Version]; found && view.Version > 0 && !slices.Equal(known, view.Members) {
			s.conflictingViews = true
		}
		s.views[view.Version] = view.Members
		if view.Version > s.newest.Version {
			s.newest = view
		}
	}
}

// injectFault lets one thing happen to a member.
func (s *simulation) injectFault() {
	s.observeViews()
	address := s.newest.Members[s.random.IntN(len(s.newest.Members))]
	p := s.at(address)
	if p == nil {
		return
	}
	switch kind := s.random.IntN(8); {
	case kind < 3 && s.allHealthy():
		s.stop(p)
		s.wait(1500 * time.Millisecond)
		s.startJoiningMember()
	case kind == 3 && s.allHealthy():
		s.startJoiningMember()
		s.wait(3 * time.Second)
		s.stopGracefully(p)
	case kind == 4 && s.allHealthy():
		s.stop(p)
		s.wait(300 * time.Millisecond)
		s.start(address, p.zone, storage.NewMemory(), false)
	case kind == 5:
		s.stop(p)
		s.wait(time.Second)
		s.start(address, p.zone, p.disk, false)
	case !s.partitioned[address]:
		s.partition(address)
	}
}

// enter starts a joining member unless some wait already.
func (s *simulation) startJoiningMember() {
	if waiting := len(s.all()) - len(s.newest.Members); waiting > 0 {
		return
	}
	s.machines++
	s.seeds = s.newest.Members
	s.start(fmt.Sprintf("core-%d", s.machines), "elsewhere", storage.NewMemory(), false)
}

// partition cuts a process off for some time, while a joining member may come.
func (s *simulation) partition(address string) {
	s.partitioned[address] = true
	s.network.Partition(address, true)
	if s.random.IntN(2) == 0 {
		s.startJoiningMember()
	}
	s.wait(5 * time.Second)
	s.network.Partition(address, false)
	delete(s.partitioned, address)
}

// allHealthy tells whether one more member may be lost for good: all others are there, have had the time to catch up, and may
// vote.
func (s *simulation) allHealthy() bool {
	if time.Since(s.lastFault) < catchUpTime {
		return false
	}
	for _, address := range s.newest.Members {
		p := s.at(address)
		if p == nil || s.partitioned[address] || !p.rebuilder.Ready() {
			return false
		}
	}
	return true
}

// sizes are the numbers of members; little is concurrent in simulated time, so one does under the race detector.
func sizes() []int {
	if raceflag.On {
		return []int{3}
	}
	return []int{3, 4, 5}
}

func TestTheRegisterIsLinearizableWhileMembersAreReplaced(t *testing.T) {
	succeeded, replaced := 0, uint64(0)
	for _, size := range sizes() {
		for seed := range uint64(*schedules) {
			s := simulate(t, seed, size, ruleMutant{})
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
			replaced += s.newest.Version - 1
		}
	}
	convey.Convey("Operations come to their end, and members are replaced", t, func() {
		convey.So(succeeded, convey.ShouldBeGreaterThan, 10**schedules)
		convey.So(replaced, convey.ShouldBeGreaterThan, 0)
	})
	t.Logf("%d operations succeeded, %d replacements", succeeded, replaced)
}
