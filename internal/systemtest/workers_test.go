package systemtest

import (
	"bytes"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// worker is a fake with the relay before it.
type worker struct {
	*cluster.Worker
	relay        *relay
	fact         checker.Worker
	incarnations int
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
	platform := s.cluster.AddPlatform(cluster.PlatformConfig{Lag: 200 * time.Millisecond, RatePerSecond: 30})
	s.platform = &relay{
		network: s.network, to: "platform", address: s.subnet + ".200:0", target: platform.Address(), caller: s.callerName,
		onReply: s.recorder.recordInventory, rewrite: s.rewriteList,
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
		Service: plan.service, Labels: labels, EnforcesCapacity: plan.guards,
		Capacity: checker.Resources{Processors: capacity.Processors, MemoryMB: capacity.MemoryMB},
	}}
	added.Worker = s.cluster.AddWorker(cluster.WorkerConfig{
		ID: name + "-life-1", Service: plan.service, Zone: "north", Version: "v1", Slots: 8, Capacity: capacity, Labels: labels, EnforcesCapacity: plan.guards,
		ClockRate: 1 - 0.01*float64(number%3), ClockStart: time.Duration(number+1) * time.Hour,
	})
	added.incarnations = 1
	added.relay = &relay{
		network: s.network, to: name, address: fmt.Sprintf("%s.%d:0", s.subnet, 100+len(s.workers)), target: added.Address(),
		caller: s.callerName, onDelivery: s.recorder.recordDelivery, onReply: s.recorder.recordReply,
	}
	s.workers = append(s.workers, added)
	s.recordIncarnation(added)
	return added.relay.open()
}

func (s *system) recordIncarnation(of *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fact := of.fact
	fact.ID = of.ID()
	s.workerIncarnations[fact.ID] = fact
}

// rewriteList names the relays where the platform names the workers.
func (s *system) rewriteList(body []byte) []byte {
	for _, one := range s.workers {
		body = bytes.ReplaceAll(body, []byte(`"`+one.Address()+`"`), []byte(`"`+one.relay.address+`"`))
	}
	return body
}

// crash ends a worker's incarnation and begins another.
func (s *system) crash(one *worker) {
	s.workerFaultBegan(one)
	one.incarnations++
	one.Crash(fmt.Sprintf("%s-life-%d", one.relay.to, one.incarnations))
	s.recordIncarnation(one)
	s.faultEnded(one.relay.to)
}

// crashIncarnation crashes the worker whose current incarnation this is, if any.
func (s *system) crashIncarnation(incarnation string) {
	for _, one := range s.workers {
		if one.ID() == incarnation {
			s.crash(one)
		}
	}
}

// beginCallFaults lets the calls to a worker go wrong until calm is called.
func (s *system) beginCallFaults(one *worker, faults func(cluster.CallKind) cluster.Fault) {
	s.workerFaultBegan(one)
	one.SetFaults(faults)
}

func (s *system) endCallFaults(one *worker) {
	one.SetFaults(nil)
	s.faultEnded(one.relay.to)
}

// drain lists a worker as about to leave.
func (s *system) drain(one *worker) {
	s.workerFaultBegan(one)
	one.Drain(drainTime)
}
