package scheduler

const (
	failureCost = 8.0 // how much costlier a worker is all of whose runs fail
)

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

// latencyMS is a worker's smoothed latency in milliseconds. An unheard one counts as average, and where all are
// unheard latency starts from the objective of the job's queue.
func (s *Scheduler) latencyMS(j *jobState, worker *workerState) float64 {
	if worker.latencyMS > 0 {
		return worker.latencyMS
	}
	if s.latencyCount > 0 {
		return s.latencySumMS / float64(s.latencyCount)
	}
	return max(1, float64(j.Queue.TargetLatencyMS))
}

// expectedMS is how long a run of a stage takes at a worker, by the client's estimate.
func (s *Scheduler) expectedMS(stage *stageState, worker *workerState) float64 {
	return max(1, float64(stage.EstimatedDurationMS)) * s.distanceFactor(stage, worker)
}

// distanceFactor is the factor by which a task takes longer away from its data.
func (s *Scheduler) distanceFactor(stage *stageState, worker *workerState) float64 {
	if stage.Affinity == "" || stage.Affinity == worker.rack || worker.hasLabel(stage.Affinity) {
		return 1
	}
	return max(1, s.settings.RemoteFactor)
}

// slowdown is how much slower than usual a worker is; 1 for the usual.
func (s *Scheduler) slowdown(worker *workerState) float64 {
	if worker.paceRatio == 0 || s.medianPaceRatio == 0 {
		return 1
	}
	return max(1, worker.paceRatio/s.medianPaceRatio)
}
