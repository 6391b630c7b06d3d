package systemtest

import (
	"bytes"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/systemtest/checker"
)

// worker is a fake worker with the relay in front of it.
type worker struct {
	*cluster.Worker
	relay        *relay
	description  checker.Worker
	incarnations int
}

// addFakes creates the fake workers and the fake platform, each behind a relay.
func (s *system) addFakes(dimensions systemSize) error {
	for _, plan := range dimensions.workers {
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
	added := &worker{description: checker.Worker{
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

// recordIncarnation records the current incarnation of a worker for the checker.
func (s *system) recordIncarnation(target *worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation := target.description
	incarnation.ID = target.ID()
	s.workerIncarnations[incarnation.ID] = incarnation
}

// rewriteList replaces the addresses of workers in an inventory of the platform by those of their relays.
func (s *system) rewriteList(body []byte) []byte {
	for _, w := range s.workers {
		body = bytes.ReplaceAll(body, []byte(`"`+w.Address()+`"`), []byte(`"`+w.relay.address+`"`))
	}
	return body
}

// crash ends a worker's current incarnation and starts another.
func (s *system) crash(target *worker) {
	s.recordWorkerFaultStart(target)
	target.incarnations++
	target.Crash(fmt.Sprintf("%s-life-%d", target.relay.to, target.incarnations))
	s.recordIncarnation(target)
	s.recordFaultEnd(target.relay.to)
}

// crashIncarnation crashes the worker with the given current incarnation, if there is one.
func (s *system) crashIncarnation(incarnation string) {
	for _, w := range s.workers {
		if w.ID() == incarnation {
			s.crash(w)
		}
	}
}

// beginCallFaults injects faults into the calls to a worker until endCallFaults is called.
func (s *system) beginCallFaults(target *worker, faults func(cluster.CallKind) cluster.Fault) {
	s.recordWorkerFaultStart(target)
	target.SetFaults(faults)
}

func (s *system) endCallFaults(target *worker) {
	target.SetFaults(nil)
	s.recordFaultEnd(target.relay.to)
}

// drain makes the platform list a worker as draining.
func (s *system) drain(target *worker) {
	s.recordWorkerFaultStart(target)
	target.Drain(drainTime)
}
