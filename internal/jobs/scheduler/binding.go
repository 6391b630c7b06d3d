package scheduler

import (
	"math"
	"slices"
)

// bind chooses the worker where a task waits: the least cost among the eligible.
func (s *Scheduler) bindTask(now Now, task *taskState) {
	s.unbindTask(task)
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.sortedWorkers {
		if !worker.reachable || !s.isEligible(task.stage, worker) {
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
	if best != nil {
		task.boundTo = best
		best.boundTasks++
	}
}

func (s *Scheduler) unbindTask(task *taskState) {
	if task.boundTo != nil {
		task.boundTo.boundTasks--
		task.boundTo = nil
	}
}

// rebindTasks binds the tasks anew that wait at a worker which cannot take them any more.
func (s *Scheduler) rebindTasks(now Now, worker *workerState) {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == worker {
				s.bindTask(now, task)
			}
		}
	}
	s.orderStale = true
}

// bindUnboundTasks binds the tasks that found no eligible worker before.
func (s *Scheduler) bindUnboundTasks(now Now) {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == nil {
				s.bindTask(now, task)
			}
		}
	}
	s.orderStale = true
}

// unitCostScratch are the workers that may take a stage's tasks, with their costs without load. All new tasks of a stage are
// alike, so that these are worked out once for all of them.
type unitCosts []unitCost

type unitCost struct {
	worker *workerState
	cost   float64
}

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

// bind chooses the worker where a new task waits: the least cost.
func (u unitCosts) bindLeastCost(task *taskState) {
	var best *workerState
	bestCost := math.Inf(1)
	for i := range u {
		if cost := u[i].cost * u[i].worker.load(); cost < bestCost {
			best, bestCost = u[i].worker, cost
		}
	}
	if best != nil {
		task.boundTo = best
		best.boundTasks++
	}
}
