package systemtest

import (
	"bytes"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// searcher is a stand-in with the relay before it.
type searcher struct {
	*cluster.Searcher
	relay *relay
	fact  checker.Searcher
	lives int
}

// addSurroundings makes the searchers and the platform, each behind a relay.
func (s *system) addSurroundings(of size) error {
	for _, plan := range of.searchers {
		for i := range plan.count {
			if err := s.addSearcher(plan, i); err != nil {
				return err
			}
		}
	}
	platform := s.cluster.AddPlatform(cluster.PlatformConfig{Lag: 200 * time.Millisecond, RatePerS: 30})
	s.platform = &relay{
		network: s.network, to: "platform", address: s.subnet + ".200:0", behind: platform.Address(), caller: s.callerName,
		seen: s.recorder.listed, rewrite: s.rewriteList,
	}
	return s.platform.open()
}

func (s *system) addSearcher(plan searcherPlan, number int) error {
	name := fmt.Sprintf("%s-%d", plan.service, number)
	labels := []string{"small", fmt.Sprintf("rack-%d", number%2)}
	if number == 0 {
		labels[0] = "big"
	}
	capacity := job.Resources{Processors: 4000, MemoryMB: 4000}
	added := &searcher{fact: checker.Searcher{
		Service: plan.service, Labels: labels, Guards: plan.guards,
		Capacity: checker.Resources{Processors: capacity.Processors, MemoryMB: capacity.MemoryMB},
	}}
	added.Searcher = s.cluster.AddSearcher(cluster.SearcherConfig{
		ID: name + "-life-1", Service: plan.service, Zone: "north", Version: "v1", Slots: 8, Capacity: capacity, Labels: labels, Guards: plan.guards,
		ClockRate: 1 - 0.01*float64(number%3), ClockZero: time.Duration(number+1) * time.Hour,
	})
	added.lives = 1
	added.relay = &relay{
		network: s.network, to: name, address: fmt.Sprintf("%s.%d:0", s.subnet, 100+len(s.searchers)), behind: added.Address(),
		caller: s.callerName, sent: s.recorder.delivered, seen: s.recorder.answered,
	}
	s.searchers = append(s.searchers, added)
	s.noteLife(added)
	return added.relay.open()
}

func (s *system) noteLife(of *searcher) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fact := of.fact
	fact.ID = of.ID()
	s.lives[fact.ID] = fact
}

// rewriteList names the relays where the platform names the searchers.
func (s *system) rewriteList(body []byte) []byte {
	for _, one := range s.searchers {
		body = bytes.ReplaceAll(body, []byte(`"`+one.Address()+`"`), []byte(`"`+one.relay.address+`"`))
	}
	return body
}

// crash ends a searcher's life and begins another.
func (s *system) crash(one *searcher) {
	s.beginSearcher(one)
	one.lives++
	one.Crash(fmt.Sprintf("%s-life-%d", one.relay.to, one.lives))
	s.noteLife(one)
	s.finish(one.relay.to)
}

// crashLife ends the life of a searcher if it goes on still.
func (s *system) crashLife(life string) {
	for _, one := range s.searchers {
		if one.ID() == life {
			s.crash(one)
		}
	}
}

// disturb lets the calls to a searcher go wrong until calm is called.
func (s *system) disturb(one *searcher, faults func(cluster.Call) cluster.Fault) {
	s.beginSearcher(one)
	one.SetFaults(faults)
}

func (s *system) calm(one *searcher) {
	one.SetFaults(nil)
	s.finish(one.relay.to)
}

// drain lists a searcher as about to leave.
func (s *system) drain(one *searcher) {
	s.beginSearcher(one)
	one.Drain(drainTime)
}
