package scheduler

import (
	"math"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Dispatch starts waiting tasks in queue order on workers that can run them. It returns early if no worker accepts starts.
func (s *Scheduler) Dispatch(now Now) {
	s.dispatchNeeded = false
	s.orderQueue(now)
	s.acceptingWorkers, s.acceptingWorkersListed = s.acceptingWorkers[:0], false
	var unplaceable unplaceableRequests
	for _, stage := range s.waitingStages {
		if s.acceptingWorkersListed && len(s.acceptingWorkers) == 0 {
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

// startTasks starts as many of a stage's waiting tasks as workers have capacity for. If a task cannot be placed, it records
// the request in unplaceable.
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
			return // the stage's other tasks request the same resources
		}
	}
}

// chooseWorker returns a worker that accepts starts and can run the task: preferably the worker that the task is bound to,
// otherwise the worker of least cost. It returns nil if there is none.
func (s *Scheduler) chooseWorker(now Now, task *taskState, localOnly bool) *workerState {
	if bound := task.boundTo; bound != nil && s.acceptsStarts(now, bound) && s.canPlace(task, bound, localOnly) && !slices.Contains(task.avoidedWorkers, bound.ID) {
		return bound
	}
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.workersAcceptingStarts(now) {
		if !s.canPlace(task, worker, localOnly) {
			continue
		}
		if cost := s.taskCost(task, worker); cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// canPlace reports whether a worker that accepts starts can run a task. With localOnly, only workers near the task's data
// qualify. A worker never has two attempts of the same task.
func (s *Scheduler) canPlace(task *taskState, worker *workerState, localOnly bool) bool {
	if localOnly && s.remoteFactor(task.stage, worker) > 1 {
		return false
	}
	return s.admits(task.stage, worker) && worker.attempts[task.id] == nil
}

// assign creates an attempt of a task on a worker, with a new attempt number. The number is durably recorded before the start
// command is sent.
func (s *Scheduler) assign(now Now, task *taskState, worker *workerState, number uint64) {
	s.dequeue(task)
	task.attemptNumber = number
	attempt := &attemptState{task: task, worker: worker, number: number, assignedAt: now.Monotonic}
	s.addAttempt(attempt)
	task.stage.job.started = true
	s.writeTaskRecord(task)
	command := &workerclient.StartCommand{Task: task.id, AttemptNumber: number, Specification: task.stage.job.Specification.Text, Checkpoint: task.resumeCheckpoint()}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Start: command})
}
