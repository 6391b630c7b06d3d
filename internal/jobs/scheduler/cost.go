package scheduler

import "math"

// cost ranks workers for a task: smoothed latency times one plus our runs and waiting tasks there.
func (s *Scheduler) cost(stage *stageState, sr *workerState) float64 {
	return s.unitCost(stage, sr) * sr.load()
}

// unitCost is the cost of a worker without load.
func (s *Scheduler) unitCost(stage *stageState, sr *workerState) float64 {
	return s.latencyMS(stage.job, sr) * s.distanceFactor(stage, sr) * (1 + failureCost*sr.failureRate) * s.slowdown(sr)
}

// load is one plus our runs and waiting tasks at a worker.
func (sr *workerState) load() float64 { return 1 + float64(len(sr.attempts)+sr.boundTasks) }

// unitCostScratch are the workers that may take a stage's tasks, with their costs without load. All new tasks of a stage are
// alike, so that these are worked out once for all of them.
type unitCosts []unitCost

type unitCost struct {
	worker *workerState
	cost   float64
}

func (s *Scheduler) unitCostsFor(stage *stageState) unitCosts {
	costs := s.unitCostScratch[:0]
	for _, sr := range s.sortedWorkers {
		if sr.reachable && s.isEligible(stage, sr) {
			costs = append(costs, unitCost{sr, s.unitCost(stage, sr)})
		}
	}
	s.unitCostScratch = costs
	return costs
}

// bind chooses the worker where a new task waits: the least cost.
func (u unitCosts) bindLeastCost(t *taskState) {
	var best *workerState
	bestCost := math.Inf(1)
	for i := range u {
		if cost := u[i].cost * u[i].worker.load(); cost < bestCost {
			best, bestCost = u[i].worker, cost
		}
	}
	if best != nil {
		t.boundTo = best
		best.boundTasks++
	}
}
