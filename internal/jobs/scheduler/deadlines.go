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
func (repetition *repetitionState) setDeadlines(j *jobState) {
	repetition.remainingMS = repetition.criticalPathMS()
	beginMS := float64(j.ArrivedMS)
	if dueMS := j.dueMS(repetition.number); dueMS > 0 {
		beginMS = float64(dueMS)
	}
	objective := max(1, j.Queue.Extension)*repetition.remainingMS + float64(j.Queue.TargetLatencyMS)
	repetition.targetMS = beginMS + objective
	repetition.worthlessAfterMS = beginMS + estimateTolerance*lateFactor*objective
}

// criticalPathMS is the longest chain of stages that are not complete, by the client's estimates, in milliseconds.
func (repetition *repetitionState) criticalPathMS() float64 {
	longest := 0.0
	finishMS := make([]float64, len(repetition.stages))
	for number, stage := range repetition.stages {
		for _, earlier := range stage.DependsOn {
			finishMS[number] = max(finishMS[number], finishMS[earlier])
		}
		if stage.incompleteTasks > 0 {
			finishMS[number] += float64(stage.EstimatedDurationMS)
		}
		longest = max(longest, finishMS[number])
	}
	return longest
}

// orderingLevel is a repetition's rank among those that wait: by priority, then what can be in time, then what is late.
func (repetition *repetitionState) orderingLevel(now Now, j *jobState) int {
	nowMS := float64(now.WallMS)
	level := j.Queue.Priority * levelsPerPriority
	switch {
	case nowMS > repetition.worthlessAfterMS && !repetition.isLongRunning():
		return worthlessLevel + level
	case nowMS+repetition.remainingMS > repetition.targetMS && !repetition.isLongRunning():
		return level + 1
	}
	return level
}

// isLongRunning tells whether the repetition has a stage that never completes; its worth is not bound to a time.
func (repetition *repetitionState) isLongRunning() bool {
	for _, stage := range repetition.stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
