package scheduler

// Overload is the exception to the ordinary order: what can still be in time goes before what is late, and what is too
// late to matter goes last of all. Without overload everything is in time, and the order is SWAG's within a priority.
const (
	lateFactor        = 3.0 // times its objective, after which a job's completion matters to nobody
	estimateTolerance = 1.3 // estimates are rough: a job counts as worthless later than they say
	levelsPerPriority = 2   // in time, late
	worthlessLevel    = 1 << 20
)

// setDeadlines sets when a repetition should be complete, from its queue's objective and its longest chain of stages.
func (r *repetitionState) setDeadlines(j *jobState) {
	r.remainingMS = r.criticalPathMS()
	begins := float64(j.ArrivedMS)
	if due := j.dueMS(r.number); due > 0 {
		begins = float64(due)
	}
	objective := max(1, j.Queue.Extension)*r.remainingMS + float64(j.Queue.TargetLatencyMS)
	r.targetMS = begins + objective
	r.worthlessAfterMS = begins + estimateTolerance*lateFactor*objective
}

// criticalPathMS is the longest chain of stages that are not complete, by the client's estimates, in milliseconds.
func (r *repetitionState) criticalPathMS() float64 {
	longest := 0.0
	ends := make([]float64, len(r.stages))
	for number, stage := range r.stages {
		for _, earlier := range stage.DependsOn {
			ends[number] = max(ends[number], ends[earlier])
		}
		if stage.incompleteTasks > 0 {
			ends[number] += float64(stage.EstimatedDurationMS)
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// orderingLevel is a repetition's rank among those that wait: by priority, then what can be in time, then what is late.
func (r *repetitionState) orderingLevel(now Now, j *jobState) int {
	at := float64(now.WallMS)
	level := j.Queue.Priority * levelsPerPriority
	switch {
	case at > r.worthlessAfterMS && !r.isLongRunning():
		return worthlessLevel + level
	case at+r.remainingMS > r.targetMS && !r.isLongRunning():
		return level + 1
	}
	return level
}

// isLongRunning tells whether the repetition has a stage that never completes; its worth is not bound to a time.
func (r *repetitionState) isLongRunning() bool {
	for _, stage := range r.stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
