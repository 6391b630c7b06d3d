package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// maxMissedInventories is the number of consecutive complete inventories without an unreachable worker after which the worker
// is removed.
const maxMissedInventories = 2

// SetInventory updates the workers from the platform's complete list of the service's workers. It removes unreachable workers
// that have been missing from maxMissedInventories consecutive lists.
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

// AddInventoryPage adds or updates some of the service's workers, before the platform's list has been read completely. Workers
// that the page does not contain do not count as missing.
func (s *Scheduler) AddInventoryPage(now Now, instances []workerclient.Instance) {
	for i := range instances {
		s.updateInstance(now, &instances[i])
	}
	s.dispatchNeeded = true
}

// KnowsWorker reports whether a worker's incarnation is known and has not been removed.
func (s *Scheduler) KnowsWorker(id workerclient.WorkerID) bool { return s.workers[id] != nil }

// WasRemoved reports whether a worker's incarnation has been removed. The platform may still list it for a while.
func (s *Scheduler) WasRemoved(id workerclient.WorkerID) bool { return s.removedWorkers[id] }

// updateInstance adds or updates one worker from the platform's list. It ignores incarnations that were removed.
func (s *Scheduler) updateInstance(now Now, instance *workerclient.Instance) {
	if s.removedWorkers[instance.ID] {
		return
	}
	worker := s.workers[instance.ID]
	if worker == nil {
		worker = s.addWorker(instance.ID)
	}
	startsDraining := instance.Draining && !worker.Draining
	worker.Instance = *instance
	worker.inInventory = true
	worker.rack = rackOf(instance)
	if startsDraining {
		s.drainWorker(now, worker)
	}
}

func (s *Scheduler) addWorker(id workerclient.WorkerID) *workerState {
	worker := &workerState{Instance: workerclient.Instance{ID: id}, attempts: map[job.TaskID]*attemptState{}, window: initialWindow}
	s.workers[id] = worker
	index, _ := slices.BinarySearchFunc(s.sortedWorkers, worker, func(a, b *workerState) int { return cmp.Compare(a.ID, b.ID) })
	s.sortedWorkers = slices.Insert(s.sortedWorkers, index, worker)
	return worker
}

// RemoveWorker removes a worker whose incarnation is over. None of its attempts can be running any more, so they all end.
func (s *Scheduler) RemoveWorker(now Now, id workerclient.WorkerID) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	s.endAllAttempts(now, worker)
	s.removedWorkers[id] = true
	s.clearLatency(worker)
	delete(s.workers, id)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == worker })
	worker.reachable = false
	s.rebindTasks(worker)
	s.dispatchNeeded = true
}

// drainWorker stops the attempts that are not expected to end before the platform may remove the worker, including all
// long-running ones, and binds the tasks waiting for the worker to others.
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
