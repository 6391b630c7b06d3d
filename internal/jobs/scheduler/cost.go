package scheduler

import "math"

// cost ranks workers for a task: smoothed latency times one plus our runs and waiting tasks there.
func (s *Scheduler) cost(stage *stageState, worker *workerState) float64 {
	return s.unitCost(stage, worker) * worker.load()
}

// unitCost is the cost of a worker without load.
func (s *Scheduler) unitCost(stage *stageState, worker *workerState) float64 {
	return s.latencyMS(stage.job, worker) * s.distanceFactor(stage, worker) * (1 + failureCost*worker.failureRate) * s.slowdown(worker)
}

// load is one plus our runs and waiting tasks at a worker.
func (worker *workerState) load() float64 { return 1 + float64(len(worker.attempts)+worker.boundTasks) }

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
