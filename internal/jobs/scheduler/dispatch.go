package scheduler

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Dispatch starts waiting tasks in their order, wherever there is room.
func (s *Scheduler) Dispatch(now Now) {
	s.dispatchNeeded = false
	s.orderQueue(now)
	s.openCache, s.openCached = s.openCache[:0], false
	var unplaceable unplaceableRequests
	for _, stage := range s.waitingStages {
		if s.openCached && len(s.openCache) == 0 {
			return
		}
		if len(stage.waiting) == 0 || unplaceable.covers(stage) {
			continue
		}
		if stage.GangScheduled {
			s.startGang(now, stage)
			continue
		}
		s.startTasks(now, stage, &unplaceable)
	}
}

// startTasks starts as many of a stage's tasks as there is room for.
func (s *Scheduler) startTasks(now Now, stage *stageState, unplaceable *unplaceableRequests) {
	localOnly := s.waitsForLocality(now, stage)
	for _, task := range slices.Clone(stage.waiting) {
		if now.Monotonic.Before(task.backoffUntil) {
			continue
		}
		worker := s.chooseWorker(now, task, localOnly)
		if worker != nil {
			s.assign(now, task, worker, task.attemptNumber+1)
			continue
		}
		if len(task.attempts) == 0 {
			if !localOnly {
				unplaceable.add(stage)
			}
			return // its siblings ask for the same
		}
	}
}

// chooseWorker picks an open worker with room: the one where the task is bound, else the least costly sibling.
func (s *Scheduler) chooseWorker(now Now, task *taskState, localOnly bool) *workerState {
	if bound := task.boundTo; bound != nil && s.isOpen(now, bound) && s.canPlace(task, bound, localOnly) && !slices.Contains(task.avoidedWorkers, bound.ID) {
		return bound
	}
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.openWorkers(now) {
		if !s.canPlace(task, worker, localOnly) {
			continue
		}
		cost := s.cost(task.stage, worker)
		if slices.Contains(task.avoidedWorkers, worker.ID) {
			cost *= 1 + failureCost
		}
		if cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// canPlace tells whether an open worker can take a task, near its data if it stays there.
func (s *Scheduler) canPlace(task *taskState, worker *workerState, localOnly bool) bool {
	if localOnly && s.distanceFactor(task.stage, worker) > 1 {
		return false
	}
	return s.admits(task.stage, worker, 0) && worker.attempts[task.id] == nil
}

// assign gives a task to a worker.
func (s *Scheduler) assign(now Now, task *taskState, worker *workerState, number uint64) {
	s.dequeue(task)
	task.attemptNumber = number
	attempt := &attemptState{task: task, worker: worker, number: number, assignedAt: now.Monotonic}
	task.attempts = append(task.attempts, attempt)
	worker.attempts[task.id] = attempt
	worker.used = worker.used.Add(task.stage.Resources)
	task.stage.job.started = true
	s.writeTaskRecord(task)
	command := &workerclient.StartCommand{Task: task.id, AttemptNumber: number, Specification: task.stage.job.Specification.Text, Checkpoint: task.checkpoint}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Start: command})
}
