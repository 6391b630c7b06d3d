package replication

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
	"puffinlink.example/puffinlink/internal/raceflag"
)

// injectFault injects one random fault and schedules its end.
func (s *simulation) injectFault() {
	if s.diskFaults && s.random.IntN(4) == 0 {
		s.injectDiskFault()
		return
	}
	kinds := 10
	if s.replaceMembers {
		kinds++
	}
	switch s.random.IntN(kinds) {
	case 0, 1:
		s.restart(s.randomNode(), s.randomBetween(0, 2500*time.Millisecond), false)
	case 2:
		s.loseDisk()
	case 3:
		for _, address := range s.view.Members {
			s.restart(s.nodes[address], s.randomBetween(0, time.Second), false)
		}
	case 4, 5:
		s.partition(s.random.IntN(2) == 0)
	case 6:
		n := s.randomNode()
		n.frozenUntil = s.now + s.randomBetween(200*time.Millisecond, 3*time.Second)
	case 7:
		address := s.randomNode().address
		s.slowDisks[address] = s.randomBetween(0, 700*time.Millisecond)
		s.schedule(s.randomBetween(0, 4*time.Second), func() { delete(s.slowDisks, address) })
	case 8:
		s.lossRate, s.duplicateRate = s.random.Float64()*0.3, s.random.Float64()*0.3
		s.schedule(s.randomBetween(0, 3*time.Second), func() { s.lossRate, s.duplicateRate = 0, 0 })
	case 9:
		s.resignLeader()
	case 10:
		s.replaceMember()
	}
}

func (s *simulation) randomNode() *simulatedNode {
	return s.nodes[s.view.Members[s.random.IntN(len(s.view.Members))]]
}

func (s *simulation) restart(n *simulatedNode, downtime time.Duration, loseDisk bool) {
	if !n.up {
		return
	}
	n.kill(loseDisk)
	s.schedule(downtime, n.start)
}

// loseDisk makes one node lose its disk, unless the cluster does not tolerate another lost disk.
func (s *simulation) loseDisk() {
	lost := 0
	for _, n := range s.nodes {
		if n.diskLost {
			lost++
		}
	}
	if n := s.randomNode(); lost < (len(s.view.Members)-1)/2 && n.up && !n.diskLost {
		s.restart(n, s.randomBetween(0, time.Second), true)
	}
}

// replaceMember replaces a member by a new machine, unless a disk is lost or a member has an old view. A majority of the old
// members gets the new view at once, as it would have agreed on it. The other members get it later.
func (s *simulation) replaceMember() {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; n.diskLost || n.view.Version < s.view.Version {
			return
		}
	}
	old := s.view
	leaving := s.randomNode()
	entering := fmt.Sprintf("10.0.1.%d:7000", len(s.machines)+1)
	members := slices.DeleteFunc(slices.Clone(old.Members), func(address string) bool { return address == leaving.address })
	s.view = replicaset.View{Version: old.Version + 1, Members: append(members, entering)}
	slices.Sort(s.view.Members)
	view := s.view
	for i, place := range s.random.Perm(len(old.Members)) {
		n := s.nodes[old.Members[place]]
		delay := time.Duration(0)
		if i >= old.Quorum() {
			delay = s.randomBetween(0, 8*time.Second)
		}
		s.schedule(delay, func() { n.view = view })
	}
	n := s.addNode(entering)
	n.diskLost = true
	s.schedule(s.randomBetween(0, time.Second), n.start)
	s.schedule(s.randomBetween(3*time.Second, 10*time.Second), func() { leaving.kill(true) })
}

func (s *simulation) partition(oneWay bool) {
	first, second := s.randomNode().address, s.randomNode().address
	duration := s.randomBetween(200*time.Millisecond, 4*time.Second)
	s.partitions[link{first, second}] = true
	s.schedule(duration, func() { delete(s.partitions, link{first, second}) })
	if !oneWay {
		s.partitions[link{second, first}] = true
		s.schedule(duration, func() { delete(s.partitions, link{second, first}) })
	}
}

func (s *simulation) resignLeader() {
	if n := s.leader(s.groups[s.random.IntN(len(s.groups))]); n != nil {
		n.runLater(0, func() {
			for _, group := range s.groups {
				if term := n.terms[group]; term != nil {
					term.Resign()
				}
			}
		})
	}
}

// randomFaults injects random faults for a span of time. It then ends all faults, and returns an error if a check has failed or
// the cluster does not recover.
func (s *simulation) randomFaults(span time.Duration) error {
	s.start()
	if err := s.run(2 * time.Second); err != nil {
		return err
	}
	for end := s.now + span; s.now < end; {
		s.injectFault()
		if err := s.run(s.randomBetween(0, 1200*time.Millisecond)); err != nil {
			return err
		}
	}
	s.heal()
	if err := s.run(10 * time.Second); err != nil {
		return err
	}
	before := s.checker.commits
	if err := s.run(time.Second); err != nil {
		return err
	}
	if !s.allGroupsLed() || s.checker.commits == before {
		return fmt.Errorf("no leaders or no commits after the end of all faults")
	}
	return nil
}

// faultDuration is the simulated time during which faults are injected. It is long enough for a dozen faults.
const faultDuration = 20 * time.Second

// seeds returns the number of schedules to run. The simulation is not concurrent, so a few are enough under the race detector.
func seeds(defaultCount int) uint64 {
	if *randomFaultSeeds > 0 {
		return uint64(*randomFaultSeeds)
	}
	if raceflag.Enabled || testing.Short() {
		return 2
	}
	return uint64(defaultCount)
}

var randomFaultSeeds = flag.Int("fault-schedules", 0, "number of schedules of each kind of random faults; 0 for the default")

// TestRandomFaultsPreserveInvariants checks that under random faults each group has at most one leader with a valid lease and no
// committed entry is lost. After the faults all groups must have leaders and commit entries again.
func TestRandomFaultsPreserveInvariants(t *testing.T) {
	kinds := []struct {
		name           string
		members        int
		replaceMembers bool
		diskFaults     bool
	}{
		{"three members", 3, false, false}, {"five members", 5, false, false},
		{"three members, replacements", 3, true, false}, {"five members, replacements", 5, true, false},
		{"three members, disk faults", 3, false, true}, {"five members, replacements, disk faults", 5, true, true},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			commits, elections := 0, 0
			for seed := range seeds(25) {
				s := newSimulation(seed, kind.members, defects{}, Timing{})
				s.replaceMembers, s.diskFaults = kind.replaceMembers, kind.diskFaults
				if err := s.randomFaults(faultDuration); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				commits += s.checker.commits
				elections += s.checker.elections
			}
			t.Logf("%d commits, %d elections", commits, elections)
		})
	}
}
