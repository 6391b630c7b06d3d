package scheduler

import "slices"

// failureCost is how many times costlier a worker is all of whose attempts fail, beside its cost without failures.
const failureCost = 8.0

// cost ranks workers for a task, as SWAG does: smoothed latency times load.
func (s *Scheduler) cost(stage *stageState, worker *workerState) float64 {
	return s.unitCost(stage, worker) * worker.load()
}

// taskCost is the cost of a worker for one task: higher where the task has failed or crawled before.
func (s *Scheduler) taskCost(task *taskState, worker *workerState) float64 {
	cost := s.cost(task.stage, worker)
	if slices.Contains(task.avoidedWorkers, worker.ID) {
		cost *= 1 + failureCost
	}
	return cost
}

// unitCost is the cost of a worker without load: its latency, raised for data that is elsewhere, for failures and for
// slowness.
func (s *Scheduler) unitCost(stage *stageState, worker *workerState) float64 {
	return s.latencyMS(stage.job, worker) * s.distanceFactor(stage, worker) * (1 + failureCost*worker.failureRate) * s.slowdown(worker)
}

// load is one plus our attempts and bound tasks at a worker.
func (worker *workerState) load() float64 { return 1 + float64(len(worker.attempts)+worker.boundTasks) }

// latencyMS is a worker's smoothed latency in milliseconds. A worker without one counts as average; while no worker has
// one, latency is the target of the job's queue.
func (s *Scheduler) latencyMS(j *jobState, worker *workerState) float64 {
	if worker.latencyMS > 0 {
		return worker.latencyMS
	}
	if s.latencyCount > 0 {
		return s.latencySumMS / float64(s.latencyCount)
	}
	return max(1, float64(j.Queue.TargetLatencyMS))
}

// expectedMS is how long an attempt at a stage's task takes at a worker, by the client's estimate, in milliseconds.
func (s *Scheduler) expectedMS(stage *stageState, worker *workerState) float64 {
	return max(1, float64(stage.EstimatedDurationMS)) * s.distanceFactor(stage, worker)
}

// distanceFactor is how many times longer a task takes at a worker because its data is elsewhere; 1 near the data.
func (s *Scheduler) distanceFactor(stage *stageState, worker *workerState) float64 {
	if stage.Affinity == "" || stage.Affinity == worker.rack || worker.hasLabel(stage.Affinity) {
		return 1
	}
	return max(1, s.settings.RemoteSlowdown)
}

// slowdown is how many times slower than the median a worker is; 1 for those that are not slower.
func (s *Scheduler) slowdown(worker *workerState) float64 {
	if worker.paceRatio == 0 || s.medianPaceRatio == 0 {
		return 1
	}
	return max(1, worker.paceRatio/s.medianPaceRatio)
}
