package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// maxMissedInventories is after how many complete lists in a row without it an unreachable worker's incarnation counts as
// over.
const maxMissedInventories = 2

// SetInventory takes the platform's complete list of the service's workers.
func (s *Scheduler) SetInventory(now Now, instances []workerclient.Instance) {
	present := make(map[workerclient.WorkerID]bool, len(instances))
	for i := range instances {
		present[instances[i].ID] = true
		s.updateInstance(now, &instances[i])
	}
	for _, worker := range slices.Clone(s.sortedWorkers) {
		if present[worker.ID] {
			worker.missedInventories = 0
			continue
		}
		worker.missedInventories++
		if !worker.reachable && worker.missedInventories >= maxMissedInventories {
			s.RemoveWorker(now, worker.ID)
		}
	}
	s.pruneOperatorDrains()
	s.dispatchNeeded = true
}

// AddInventoryPage takes some of the service's workers, while the platform's list has not been read completely yet. A
// worker that is not among them is not missing.
func (s *Scheduler) AddInventoryPage(now Now, instances []workerclient.Instance) {
	for i := range instances {
		s.updateInstance(now, &instances[i])
	}
	s.dispatchNeeded = true
}

// KnowsWorker tells whether a worker's incarnation goes on, as far as is known.
func (s *Scheduler) KnowsWorker(id workerclient.WorkerID) bool { return s.workers[id] != nil }

// WasRemoved tells whether a worker's incarnation is known to be over, although the platform may still list it.
func (s *Scheduler) WasRemoved(id workerclient.WorkerID) bool { return s.removedWorkers[id] }

// updateInstance takes what the platform lists of one worker.
func (s *Scheduler) updateInstance(now Now, instance *workerclient.Instance) {
	if s.removedWorkers[instance.ID] {
		return
	}
	worker := s.workers[instance.ID]
	if worker == nil {
		worker = s.addWorker(instance.ID)
	}
	beginsDraining := instance.Draining && !worker.Draining
	worker.Instance = *instance
	worker.inInventory = true
	worker.rack = rackOf(instance)
	if beginsDraining {
		s.drainWorker(now, worker)
	}
}

func (s *Scheduler) addWorker(id workerclient.WorkerID) *workerState {
	worker := &workerState{Instance: workerclient.Instance{ID: id}, attempts: map[job.TaskID]*attemptState{}, window: initialWindow}
	s.workers[id] = worker
	at, _ := slices.BinarySearchFunc(s.sortedWorkers, worker, func(a, b *workerState) int { return cmp.Compare(a.ID, b.ID) })
	s.sortedWorkers = slices.Insert(s.sortedWorkers, at, worker)
	return worker
}

// RemoveWorker takes that a worker's incarnation is over: nothing runs there any more.
func (s *Scheduler) RemoveWorker(now Now, id workerclient.WorkerID) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	s.endAllAttempts(now, worker)
	s.removedWorkers[id] = true
	s.forgetLatency(worker)
	delete(s.workers, id)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == worker })
	worker.reachable = false
	s.rebindTasks(worker)
	s.dispatchNeeded = true
}

// drainWorker stops what cannot end before the platform may take the worker away, and rebinds what waits for it.
func (s *Scheduler) drainWorker(now Now, worker *workerState) {
	remainingMS := float64(worker.RemainingMS)
	if worker.RemainingMS == 0 {
		remainingMS = float64(s.settings.MinDrainDuration.Milliseconds())
	}
	for _, attempt := range worker.sortedAttempts() {
		if attempt.task.stage.LongRunning || s.remainingMS(now, attempt) > remainingMS {
			s.stopAttempt(attempt)
		}
	}
	s.rebindTasks(worker)
}
