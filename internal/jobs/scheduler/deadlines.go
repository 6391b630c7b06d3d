package scheduler

// Deadlines affect the order only under overload. Within a priority, repetitions that can still meet their target go before
// late ones. Worthless repetitions, whose completion is too late to be of use, go last. Without overload nothing is late, and
// each priority is in SWAG's order.
const (
	worthlessAfterFactor = 3.0     // multiple of the allowed time after which the completion is of no use to the client
	estimateTolerance    = 1.3     // multiplies worthlessAfterFactor, because clients' duration estimates are imprecise
	levelsPerPriority    = 2       // one level for repetitions that can meet their target, one for late ones
	worthlessLevelOffset = 1 << 20 // added to the level of a worthless repetition, so that it follows all others
)

// setDeadlines computes the time by which a repetition should complete, and the time after which it is worthless, from the
// queue's target latency and the repetition's critical path.
func (repetition *repetitionState) setDeadlines(j *jobState) {
	repetition.remainingMS = repetition.criticalPathMS()
	startMS := float64(j.ArrivedMS)
	if dueMS := j.dueMS(repetition.number); dueMS > 0 {
		startMS = float64(dueMS)
	}
	allowedMS := max(1, j.Queue.Extension)*repetition.remainingMS + float64(j.Queue.TargetLatencyMS)
	repetition.targetMS = startMS + allowedMS
	repetition.worthlessAfterMS = startMS + estimateTolerance*worthlessAfterFactor*allowedMS
}

// criticalPathMS returns the length in milliseconds of the longest chain of dependent stages that are not complete, computed
// from the client's estimates.
func (repetition *repetitionState) criticalPathMS() float64 {
	longestMS := 0.0
	finishMS := make([]float64, len(repetition.stages))
	for number, stage := range repetition.stages {
		for _, dependency := range stage.DependsOn {
			finishMS[number] = max(finishMS[number], finishMS[dependency])
		}
		if stage.incompleteTasks > 0 {
			finishMS[number] += float64(stage.EstimatedDurationMS)
		}
		longestMS = max(longestMS, finishMS[number])
	}
	return longestMS
}

// orderingLevel returns a repetition's level in the queue. Lower levels go first. Levels are ordered by priority, and within
// a priority repetitions that can meet their target go before late ones. Worthless repetitions follow all others.
func (repetition *repetitionState) orderingLevel(now Now, j *jobState) int {
	nowMS := float64(now.WallMS)
	level := j.Queue.Priority * levelsPerPriority
	switch {
	case nowMS > repetition.worthlessAfterMS && !repetition.isLongRunning():
		return worthlessLevelOffset + level
	case nowMS+repetition.remainingMS > repetition.targetMS && !repetition.isLongRunning():
		return level + 1
	}
	return level
}

// isLongRunning reports whether the repetition has a long-running stage, which never completes. Such a repetition has no
// deadline.
func (repetition *repetitionState) isLongRunning() bool {
	for _, stage := range repetition.stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
