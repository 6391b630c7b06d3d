package scheduler

import "math"

// cost ranks workers for a task: smoothed latency times one plus our runs and waiting tasks there.
func (s *Scheduler) cost(stage *stageRun, sr *worker) float64 {
	return s.unitCost(stage, sr) * sr.load()
}

// unitCost is the cost of a worker without load.
func (s *Scheduler) unitCost(stage *stageRun, sr *worker) float64 {
	return s.latency(stage.job, sr) * s.distance(stage, sr) * (1 + faultCost*sr.faults) * s.slowdown(sr)
}

// load is one plus our runs and waiting tasks at a worker.
func (sr *worker) load() float64 { return 1 + float64(len(sr.runs)+sr.held) }

// unitCosts are the workers that may take a stage's tasks, with their costs without load. All new tasks of a stage are
// alike, so that these are worked out once for all of them.
type unitCosts []unitCost

type unitCost struct {
	at   *worker
	cost float64
}

func (s *Scheduler) costsOf(stage *stageRun) unitCosts {
	costs := s.unitCosts[:0]
	for _, sr := range s.list {
		if sr.reachable && s.suits(stage, sr) {
			costs = append(costs, unitCost{sr, s.unitCost(stage, sr)})
		}
	}
	s.unitCosts = costs
	return costs
}

// bind chooses the worker where a new task waits: the least cost.
func (u unitCosts) bind(t *task) {
	var best *worker
	bestCost := math.Inf(1)
	for i := range u {
		if cost := u[i].cost * u[i].at.load(); cost < bestCost {
			best, bestCost = u[i].at, cost
		}
	}
	if best != nil {
		t.bound = best
		best.held++
	}
}
