package scheduler

// Overload is the exception to the ordinary order: what can still be in time goes before what is late, and what is too
// late to matter goes last of all. Without overload everything is in time, and the order is SWAG's within a priority.
const (
	lateFactor    = 3.0 // times its objective, after which a job's completion matters to nobody
	doubtOfChain  = 1.3 // estimates are rough: a job counts as worthless later than they say
	levelsPerRank = 2   // in time, late
	levelOfWaste  = 1 << 20
)

// aim sets when a repetition should be complete, from its queue's objective and its longest chain of stages.
func (r *repetition) aim(j *jobState) {
	r.remaining = r.chain()
	begins := float64(j.ArrivedMS)
	if due := j.dueMS(r.number); due > 0 {
		begins = float64(due)
	}
	objective := max(1, j.Queue.Extension)*r.remaining + float64(j.Queue.TargetLatencyMS)
	r.due = begins + objective
	r.worthless = begins + doubtOfChain*lateFactor*objective
}

// chain is the longest chain of stages that are not complete, by the client's estimates, in milliseconds.
func (r *repetition) chain() float64 {
	longest := 0.0
	ends := make([]float64, len(r.stages))
	for number, stage := range r.stages {
		for _, earlier := range stage.DependsOn {
			ends[number] = max(ends[number], ends[earlier])
		}
		if stage.left > 0 {
			ends[number] += float64(stage.EstimatedDurationMS)
		}
		longest = max(longest, ends[number])
	}
	return longest
}

// level is a repetition's rank among those that wait: by priority, then what can be in time, then what is late.
func (r *repetition) level(now Now, j *jobState) int {
	at := float64(now.WallMS)
	level := j.Queue.Priority * levelsPerRank
	switch {
	case at > r.worthless && !r.lasting():
		return levelOfWaste + level
	case at+r.remaining > r.due && !r.lasting():
		return level + 1
	}
	return level
}

// lasting tells whether the repetition has a stage that never completes; its worth is not bound to a time.
func (r *repetition) lasting() bool {
	for _, stage := range r.stages {
		if stage.LongRunning {
			return true
		}
	}
	return false
}
