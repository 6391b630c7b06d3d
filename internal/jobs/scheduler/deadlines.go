package scheduler

// Deadlines matter under overload alone: what can still meet its target goes before what is late, and what is too late to
// matter goes last. Without overload everything is in time, and the order is SWAG's within a priority.
const (
	lateFactor        = 3.0     // times its target time, after which a job's completion matters to nobody
	estimateTolerance = 1.3     // estimates are rough: a job counts as worthless so many times later than they say
	levelsPerPriority = 2       // in time, late
	worthlessLevel    = 1 << 20 // added to a worthless job's level: above all others
)

// setDeadlines sets when a repetition should be complete, from its queue's target and its critical path.
func (repetition *repetitionState) setDeadlines(j *jobState) {
	repetition.remainingMS = repetition.criticalPathMS()
	beginMS := float64(j.ArrivedMS)
	if dueMS := j.dueMS(repetition.number); dueMS > 0 {
		beginMS = float64(dueMS)
	}
	allowedMS := max(1, j.Queue.Extension)*repetition.remainingMS + float64(j.Queue.TargetLatencyMS)
	repetition.targetMS = beginMS + allowedMS
	repetition.worthlessAfterMS = beginMS + estimateTolerance*lateFactor*allowedMS
}

// criticalPathMS is the length of the longest chain of stages that are not complete, by the client's estimates, in
// milliseconds.
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

// orderingLevel is a repetition's level in the queue, the lowest first: by priority, then what can be in time, then what
// is late; worthless ones come after all others.
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

// isLongRunning tells whether the repetition has a stage that never completes; such a one has no deadline.
func (repetition *repetitionState) isLongRunning() bool {
	for _, stage := range repetition.stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
