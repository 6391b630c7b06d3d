package scheduler

import "slices"

// failurePenalty is the relative cost added to a worker whose attempts all fail: its cost is 1 + failurePenalty times the
// cost of the same worker without failures. The same penalty applies to a worker that a task avoids.
const failurePenalty = 8.0

// stageCost returns the cost of a worker for a stage's tasks: its unit cost times its load. SWAG ranks workers by smoothed
// latency times load.
func (s *Scheduler) stageCost(stage *stageState, worker *workerState) float64 {
	return s.unitCost(stage, worker) * worker.load()
}

// taskCost returns the cost of a worker for one task. It is higher if the task has failed or run slowly on that worker.
func (s *Scheduler) taskCost(task *taskState, worker *workerState) float64 {
	cost := s.stageCost(task.stage, worker)
	if slices.Contains(task.avoidedWorkers, worker.ID) {
		cost *= 1 + failurePenalty
	}
	return cost
}

// unitCost returns the cost of a worker without load: its latency, multiplied by factors for remote data, for failed
// attempts and for slow execution.
func (s *Scheduler) unitCost(stage *stageState, worker *workerState) float64 {
	return s.latencyMS(stage.job, worker) * s.remoteFactor(stage, worker) * (1 + failurePenalty*worker.failureRate) * s.slowdown(worker)
}

// load returns one plus the number of the worker's attempts and bound tasks.
func (worker *workerState) load() float64 { return 1 + float64(len(worker.attempts)+worker.boundTasks) }

// latencyMS returns a worker's smoothed latency in milliseconds. For a worker without a measurement it returns the mean of
// all measured workers, or the target latency of the job's queue if no worker has been measured.
func (s *Scheduler) latencyMS(j *jobState, worker *workerState) float64 {
	if worker.latencyMS > 0 {
		return worker.latencyMS
	}
	if s.latencyCount > 0 {
		return s.latencySumMS / float64(s.latencyCount)
	}
	return max(1, float64(j.Queue.TargetLatencyMS))
}

// expectedDurationMS returns the expected duration of an attempt on a worker in milliseconds, computed from the client's
// estimate.
func (s *Scheduler) expectedDurationMS(stage *stageState, worker *workerState) float64 {
	return max(1, float64(stage.EstimatedDurationMS)) * s.remoteFactor(stage, worker)
}

// remoteFactor returns the factor by which a task takes longer on a worker because its data is remote. It returns 1 for a
// worker near the data.
func (s *Scheduler) remoteFactor(stage *stageState, worker *workerState) float64 {
	if stage.Affinity == "" || stage.Affinity == worker.rack || worker.hasLabel(stage.Affinity) {
		return 1
	}
	return max(1, s.settings.RemoteSlowdown)
}

// slowdown returns the worker's pace ratio divided by the median pace ratio. The result is at least 1, and 1 if either ratio
// is unknown.
func (s *Scheduler) slowdown(worker *workerState) float64 {
	if worker.paceRatio == 0 || s.medianPaceRatio == 0 {
		return 1
	}
	return max(1, worker.paceRatio/s.medianPaceRatio)
}
