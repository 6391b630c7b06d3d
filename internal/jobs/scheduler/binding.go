package scheduler

import (
	"math"
)

// bindTask binds a task to the reachable, eligible worker of least cost. If there is no such worker, the task stays unbound.
func (s *Scheduler) bindTask(task *taskState) {
	s.unbindTask(task)
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.sortedWorkers {
		if !worker.reachable || !s.isEligible(task.stage, worker) {
			continue
		}
		if cost := s.taskCost(task, worker); cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	task.bindTo(best)
}

// bindTo binds an unbound task to a worker. A nil worker leaves the task unbound.
func (task *taskState) bindTo(worker *workerState) {
	task.boundTo = worker
	if worker != nil {
		worker.boundTasks++
	}
}

func (s *Scheduler) unbindTask(task *taskState) {
	if task.boundTo != nil {
		task.boundTo.boundTasks--
		task.boundTo = nil
	}
}

// rebindTasks binds the waiting tasks of a worker to other workers, after the worker has become unable to run them.
func (s *Scheduler) rebindTasks(worker *workerState) {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == worker {
				s.bindTask(task)
			}
		}
	}
	s.orderStale = true
}

// bindUnboundTasks tries to bind the waiting tasks for which no reachable worker was eligible before.
func (s *Scheduler) bindUnboundTasks() {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == nil {
				s.bindTask(task)
			}
		}
	}
	s.orderStale = true
}

// unitCosts lists the workers that can run a stage's tasks, each with its unit cost, which is its cost without load. All new
// tasks of a stage have the same unit costs, so the list is computed once per stage.
type unitCosts []unitCost

type unitCost struct {
	worker *workerState
	cost   float64
}

// unitCostsFor computes the unit costs of a stage. The result is valid until the next call, which
// reuses the buffer.
func (s *Scheduler) unitCostsFor(stage *stageState) unitCosts {
	costs := s.unitCostScratch[:0]
	for _, worker := range s.sortedWorkers {
		if worker.reachable && s.isEligible(stage, worker) {
			costs = append(costs, unitCost{worker, s.unitCost(stage, worker)})
		}
	}
	s.unitCostScratch = costs
	return costs
}

// bindToLeastCost binds a new task to the worker of least cost. It ignores avoided workers, as a new task has none.
func (u unitCosts) bindToLeastCost(task *taskState) {
	var best *workerState
	bestCost := math.Inf(1)
	for i := range u {
		if cost := u[i].cost * u[i].worker.load(); cost < bestCost {
			best, bestCost = u[i].worker, cost
		}
	}
	task.bindTo(best)
}
