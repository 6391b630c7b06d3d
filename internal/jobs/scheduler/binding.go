package scheduler

import (
	"math"
)

// bindTask binds a task to the least costly worker that is reachable and eligible, and to none if there is none.
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

// bindTo binds an unbound task to a worker; nil for none.
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

// rebindTasks binds the tasks of a worker that cannot take them any more to others.
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

// bindUnboundTasks binds the tasks for which no worker was eligible before.
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

// unitCosts are the workers that may take a stage's tasks, with their costs without load. All new tasks of a stage are
// alike, so that these are computed once for all of them.
type unitCosts []unitCost

type unitCost struct {
	worker *workerState
	cost   float64
}

// unitCostsFor computes the unit costs of a stage. They are valid until the next call.
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

// bindLeastCost binds a new task, which avoids no worker yet, to the least costly one.
func (u unitCosts) bindLeastCost(task *taskState) {
	var best *workerState
	bestCost := math.Inf(1)
	for i := range u {
		if cost := u[i].cost * u[i].worker.load(); cost < bestCost {
			best, bestCost = u[i].worker, cost
		}
	}
	task.bindTo(best)
}
