package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// missingLists is after how many whole lists without it an unreachable worker's life counts as over.
const maxMissedInventories = 2

// SetInventory takes the service's workers as the platform lists them, all of them.
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

// AddInventoryPage takes some of the service's workers, while the platform's list has not been read whole yet.
func (s *Scheduler) AddInventoryPage(now Now, instances []workerclient.Instance) {
	for i := range instances {
		s.updateInstance(now, &instances[i])
	}
	s.dispatchNeeded = true
}

// KnowsWorker tells whether a worker's life is going on as far as is known.
func (s *Scheduler) KnowsWorker(id workerclient.WorkerID) bool { return s.workers[id] != nil }

// WasRemoved tells whether a worker's life is known to be over although the platform may still list it.
func (s *Scheduler) WasRemoved(id workerclient.WorkerID) bool { return s.removed[id] }

func (s *Scheduler) updateInstance(now Now, instance *workerclient.Instance) {
	if s.removed[instance.ID] {
		return
	}
	worker := s.workers[instance.ID]
	if worker == nil {
		worker = s.addWorker(instance.ID)
	}
	drains := instance.Draining && !worker.Draining
	worker.Instance = *instance
	worker.inInventory = true
	worker.rack = rackOf(instance)
	if drains {
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

// RemoveWorker takes that a worker's life is over: nothing runs there any more.
func (s *Scheduler) RemoveWorker(now Now, id workerclient.WorkerID) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	s.endAllAttempts(now, worker)
	s.removed[id] = true
	s.forgetLatency(worker)
	delete(s.workers, id)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == worker })
	worker.reachable = false
	s.rebindTasks(now, worker)
	s.dispatchNeeded = true
}

// drainWorker moves away what cannot end before the worker may leave.
func (s *Scheduler) drainWorker(now Now, worker *workerState) {
	remainingMS := float64(worker.RemainingMS)
	if worker.RemainingMS == 0 {
		remainingMS = float64(s.settings.DrainTime.Milliseconds())
	}
	for _, attempt := range worker.sortedAttempts() {
		if attempt.task.stage.LongRunning || s.remainingMS(now, attempt) > remainingMS {
			s.stopAttempt(attempt)
		}
	}
	s.rebindTasks(now, worker)
}
