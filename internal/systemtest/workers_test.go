package systemtest

import (
	"bytes"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// worker is a stand-in with the relay before it.
type worker struct {
	*cluster.Worker
	relay *relay
	fact  checker.Worker
	lives int
}

// addSurroundings makes the workers and the platform, each behind a relay.
func (s *system) addSurroundings(of size) error {
	for _, plan := range of.workers {
		for i := range plan.count {
			if err := s.addWorker(plan, i); err != nil {
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

func (s *system) addWorker(plan workerPlan, number int) error {
	name := fmt.Sprintf("%s-%d", plan.service, number)
	labels := []string{"small", fmt.Sprintf("rack-%d", number%2)}
	if number == 0 {
		labels[0] = "big"
	}
	capacity := job.Resources{Processors: 4000, MemoryMB: 4000}
	added := &worker{fact: checker.Worker{
		Service: plan.service, Labels: labels, Guards: plan.guards,
		Capacity: checker.Resources{Processors: capacity.Processors, MemoryMB: capacity.MemoryMB},
	}}
	added.Worker = s.cluster.AddWorker(cluster.WorkerConfig{
		ID: name + "-life-1", Service: plan.service, Zone: "north", Version: "v1", Slots: 8, Capacity: capacity, Labels: labels, Guards: plan.guards,
		ClockRate: 1 - 0.01*float64(number%3), ClockZero: time.Duration(number+1) * time.Hour,
	})
	added.lives = 1
	added.relay = &relay{
		network: s.network, to: name, address: fmt.Sprintf("%s.%d:0", s.subnet, 100+len(s.workers)), behind: added.Address(),
		caller: s.callerName, sent: s.recorder.delivered, seen: s.recorder.answered,
	}
	s.workers = append(s.workers, added)
	s.noteLife(added)
	return added.relay.open()
}

func (s *system) noteLife(of *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fact := of.fact
	fact.ID = of.ID()
	s.lives[fact.ID] = fact
}

// rewriteList names the relays where the platform names the workers.
func (s *system) rewriteList(body []byte) []byte {
	for _, one := range s.workers {
		body = bytes.ReplaceAll(body, []byte(`"`+one.Address()+`"`), []byte(`"`+one.relay.address+`"`))
	}
	return body
}

// crash ends a worker's life and begins another.
func (s *system) crash(one *worker) {
	s.beginWorker(one)
	one.lives++
	one.Crash(fmt.Sprintf("%s-life-%d", one.relay.to, one.lives))
	s.noteLife(one)
	s.finish(one.relay.to)
}

// crashLife ends the life of a worker if it goes on still.
func (s *system) crashLife(life string) {
	for _, one := range s.workers {
		if one.ID() == life {
			s.crash(one)
		}
	}
}

// disturb lets the calls to a worker go wrong until calm is called.
func (s *system) disturb(one *worker, faults func(cluster.Call) cluster.Fault) {
	s.beginWorker(one)
	one.SetFaults(faults)
}

func (s *system) calm(one *worker) {
	one.SetFaults(nil)
	s.finish(one.relay.to)
}

// drain lists a worker as about to leave.
func (s *system) drain(one *worker) {
	s.beginWorker(one)
	one.Drain(drainTime)
}
