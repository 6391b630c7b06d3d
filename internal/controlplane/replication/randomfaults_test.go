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

// fault brings one random fault and ends it some time later.
func (s *simulation) fault() {
	if s.diskFaults && s.random.IntN(4) == 0 {
		s.diskFault()
		return
	}
	kinds := 10
	if s.replacements {
		kinds++
	}
	switch s.random.IntN(kinds) {
	case 0, 1:
		s.restart(s.randomNode(), s.between(0, 2500*time.Millisecond), false)
	case 2:
		s.loseDisk()
	case 3:
		for _, address := range s.view.Members {
			s.restart(s.nodes[address], s.between(0, time.Second), false)
		}
	case 4, 5:
		s.partition(s.random.IntN(2) == 0)
	case 6:
		n := s.randomNode()
		n.frozenUntil = s.now + s.between(200*time.Millisecond, 3*time.Second)
	case 7:
		address := s.randomNode().address
		s.slowDisks[address] = s.between(0, 700*time.Millisecond)
		s.at(s.between(0, 4*time.Second), func() { delete(s.slowDisks, address) })
	case 8:
		s.loss, s.duplicates = s.random.Float64()*0.3, s.random.Float64()*0.3
		s.at(s.between(0, 3*time.Second), func() { s.loss, s.duplicates = 0, 0 })
	case 9:
		s.resignOne()
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
	s.at(downtime, n.start)
}

// loseDisk takes one disk unless as many are lost as may be borne.
func (s *simulation) loseDisk() {
	lost := 0
	for _, n := range s.nodes {
		if n.lost {
			lost++
		}
	}
	if n := s.randomNode(); lost < (len(s.view.Members)-1)/2 && n.up && !n.lost {
		s.restart(n, s.between(0, time.Second), true)
	}
}

// replaceMember exchanges a member for a new machine, unless a disk is missing. A majority of the members learns of it
// at once, as it would have agreed on it; the others, the one that is replaced among them, learn of it later.
func (s *simulation) replaceMember() {
	for _, address := range s.view.Members {
		if n := s.nodes[address]; n.lost || n.view.Version < s.view.Version {
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
			delay = s.between(0, 8*time.Second)
		}
		s.at(delay, func() { n.view = view })
	}
	n := s.add(entering)
	n.lost = true
	s.at(s.between(0, time.Second), n.start)
	s.at(s.between(3*time.Second, 10*time.Second), func() { leaving.kill(true) })
}

func (s *simulation) partition(oneWay bool) {
	one, other := s.randomNode().address, s.randomNode().address
	length := s.between(200*time.Millisecond, 4*time.Second)
	s.partitions[link{one, other}] = true
	s.at(length, func() { delete(s.partitions, link{one, other}) })
	if !oneWay {
		s.partitions[link{other, one}] = true
		s.at(length, func() { delete(s.partitions, link{other, one}) })
	}
}

func (s *simulation) resignOne() {
	if n := s.leader(s.groups[s.random.IntN(len(s.groups))]); n != nil {
		n.later(0, func() {
			for _, group := range s.groups {
				if term := n.terms[group]; term != nil {
					term.Resign()
				}
			}
		})
	}
}

// randomFaults runs a simulation through faults, then heals everything and expects leaders again.
func (s *simulation) randomFaults(span time.Duration) error {
	s.start()
	if err := s.run(2 * time.Second); err != nil {
		return err
	}
	for end := s.now + span; s.now < end; {
		s.fault()
		if err := s.run(s.between(0, 1200*time.Millisecond)); err != nil {
			return err
		}
	}
	s.heal()
	if err := s.run(10 * time.Second); err != nil {
		return err
	}
	before := s.history.commits
	if err := s.run(time.Second); err != nil {
		return err
	}
	if !s.led() || s.history.commits == before {
		return fmt.Errorf("no leaders or no progress after the end of all faults")
	}
	return nil
}

// faultSpan is long enough for a dozen faults.
const faultSpan = 20 * time.Second

// seeds is how many schedules of a kind there are. Nothing is concurrent in them, so few do under the race detector.
func seeds(usual int) uint64 {
	if *randomFaultSeeds > 0 {
		return uint64(*randomFaultSeeds)
	}
	if raceflag.On || testing.Short() {
		return 2
	}
	return uint64(usual)
}

var randomFaultSeeds = flag.Int("fault-schedules", 0, "schedules of random faults of each kind; 0 for the usual number")

// Whatever happens, there is at most one leader with a lease, nothing committed is lost, and all goes on afterwards.
func TestRandomFaults(t *testing.T) {
	kinds := []struct {
		name      string
		members   int
		exchanges bool
		badDisks  bool
	}{
		{"three members", 3, false, false}, {"five members", 5, false, false},
		{"three members, exchanged", 3, true, false}, {"five members, exchanged", 5, true, false},
		{"three members, disk faults", 3, false, true}, {"five members, exchanged, disk faults", 5, true, true},
	}
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			commits, elections := 0, 0
			for seed := range seeds(25) {
				s := newSimulation(seed, kind.members, defects{}, Timing{})
				s.replacements, s.diskFaults = kind.exchanges, kind.badDisks
				if err := s.randomFaults(faultSpan); err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				commits += s.history.commits
				elections += s.history.elections
			}
			t.Logf("%d commits, %d elections", commits, elections)
		})
	}
}
