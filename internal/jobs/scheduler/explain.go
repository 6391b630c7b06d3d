package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// Why explains why a job's tasks wait, and tells whether the job is known. It agrees with Dispatch: a task may start at a
// worker exactly if no cause excludes the worker.
func (s *Scheduler) Why(now Now, id job.ID) (why jobreport.Why, known bool) {
	state, known := s.Status(id)
	if !known {
		return why, false
	}
	why = jobreport.Why{ID: id, State: state}
	j := s.jobs[id]
	if j == nil {
		return why, true
	}
	s.orderQueue(now)
	for _, repetition := range j.repetitions {
		if repetition == nil {
			continue
		}
		for _, stage := range repetition.stages {
			s.explainStage(now, &why, stage)
		}
	}
	if j.nextDueMS != 0 && j.nextDueMS > now.WallMS {
		why.Waiting = append(why.Waiting, jobreport.Waiting{Repetition: len(j.repetitions), Reason: jobreport.ReasonNotDue, DueMS: j.nextDueMS})
	}
	return why, true
}

// explainStage adds the explanation of a stage, if tasks of it wait.
func (s *Scheduler) explainStage(now Now, why *jobreport.Why, stage *stageState) {
	if stage.incompleteTasks == 0 || stage.tasks != nil && len(stage.waiting) == 0 {
		return
	}
	if len(why.Waiting) >= maxExplainedStages {
		why.Truncated = true
		return
	}
	if stage.tasks == nil {
		why.Waiting = append(why.Waiting, explainBlocked(stage))
		return
	}
	why.Waiting = append(why.Waiting, s.explainWaiting(now, stage))
}

// explainBlocked explains a stage that depends on incomplete ones.
func explainBlocked(stage *stageState) jobreport.Waiting {
	waiting := jobreport.Waiting{
		Repetition: stage.repetition.number, Stage: stage.number, Tasks: stage.Count, Request: stage.Resources,
		Reason: jobreport.ReasonDependsOn,
	}
	for _, number := range stage.DependsOn {
		if stage.repetition.stages[number].incompleteTasks > 0 {
			waiting.DependsOn = append(waiting.DependsOn, number)
		}
	}
	return waiting
}

// explainWaiting explains a stage whose tasks wait for a start: for each worker, whether it could take one.
func (s *Scheduler) explainWaiting(now Now, stage *stageState) jobreport.Waiting {
	waiting := jobreport.Waiting{
		Repetition: stage.repetition.number, Stage: stage.number, Tasks: len(stage.waiting), Request: stage.Resources,
		AgeMS: now.Monotonic.Sub(stage.waitingSince).Milliseconds(), Ahead: max(0, slices.Index(s.waitingStages, stage)),
	}
	open := 0
	for _, worker := range s.sortedWorkers {
		cause := s.exclusionCause(now, stage, worker)
		if cause != "" {
			waiting.Excluded = addExcluded(waiting.Excluded, cause, string(worker.ID))
			continue
		}
		open++
		if len(waiting.OpenWorkers) < maxNamedWorkers {
			waiting.OpenWorkers = append(waiting.OpenWorkers, string(worker.ID))
		}
	}
	waiting.Reason = s.waitingReason(now, stage, open)
	return waiting
}

// waitingReason is the first reason that applies; open is the number of workers that could take a task.
func (s *Scheduler) waitingReason(now Now, stage *stageState, open int) jobreport.Reason {
	switch {
	case stage.GangScheduled && len(stage.waiting) < max(stage.incompleteTasks, stage.Count):
		return jobreport.ReasonGangActive
	case isStageBackingOff(now, stage):
		return jobreport.ReasonBackoff
	case open == 0:
		return jobreport.ReasonNoWorker
	case stage.GangScheduled && s.placeableMembers(now, stage) < stage.Count:
		return jobreport.ReasonGangCapacity
	}
	return jobreport.ReasonTurn
}

// isStageBackingOff tells whether no task of the stage may start at present, after starts that failed. A gang backs off
// with any of its members.
func isStageBackingOff(now Now, stage *stageState) bool {
	backingOff := 0
	for _, task := range stage.waiting {
		if now.Monotonic.Before(task.backoffUntil) {
			backingOff++
		}
	}
	return backingOff == len(stage.waiting) || stage.GangScheduled && backingOff > 0
}

// placeableMembers counts the members of a gang that could start at present, on any racks.
func (s *Scheduler) placeableMembers(now Now, stage *stageState) int {
	members := 0
	for _, worker := range s.sortedWorkers {
		if !s.acceptsStarts(now, worker) {
			continue
		}
		for planned := 0; members < stage.Count && s.admits(stage, worker, planned); planned++ {
			members++
		}
	}
	return members
}

// exclusionCause is the first cause for which a worker does not take a task of a stage at present; empty if it could.
func (s *Scheduler) exclusionCause(now Now, stage *stageState, worker *workerState) jobreport.Cause {
	if s.acceptsStarts(now, worker) && s.admits(stage, worker, 0) {
		return ""
	}
	if cause := s.ineligibilityCause(stage, worker); cause != "" {
		return cause
	}
	switch {
	case !worker.inInventory:
		return jobreport.CauseUnlisted
	case !worker.reachable:
		return jobreport.CauseUnreachable
	case worker.fencedAt.IsZero():
		return jobreport.CauseNotFenced
	case len(worker.orphans) > 0:
		return jobreport.CauseOrphans
	case worker.isBackingOff(now):
		return jobreport.CauseBackoff
	case float64(len(worker.attempts)) >= worker.window:
		return jobreport.CauseWindow
	case !worker.freeCapacity().Fits(stage.Resources):
		return jobreport.CauseCapacity
	case stage.AntiAffinity > 0 && worker.attemptsOfStage(stage) >= stage.AntiAffinity:
		return jobreport.CauseAntiAffinity
	}
	return jobreport.CauseOther
}

// ineligibilityCause is why a worker never takes tasks of a stage, whatever its load; empty if it may. See isEligible.
func (s *Scheduler) ineligibilityCause(stage *stageState, worker *workerState) jobreport.Cause {
	for _, label := range stage.Requirements {
		if !worker.hasLabel(label) {
			return jobreport.CauseLabel
		}
	}
	switch {
	case !worker.Capacity.Fits(stage.Resources):
		return jobreport.CauseSize
	case worker.Draining:
		return jobreport.CauseDraining
	case s.operatorDrains.isDraining(worker.ID):
		return jobreport.CauseOperatorDraining
	}
	return ""
}

// addExcluded counts a worker under the cause that excludes it, and names the first few of each cause.
func addExcluded(list []jobreport.Excluded, cause jobreport.Cause, worker string) []jobreport.Excluded {
	at := slices.IndexFunc(list, func(one jobreport.Excluded) bool { return one.Cause == cause })
	if at < 0 {
		list = append(list, jobreport.Excluded{Cause: cause})
		at = len(list) - 1
	}
	list[at].Count++
	if len(list[at].Workers) < maxNamedWorkers {
		list[at].Workers = append(list[at].Workers, worker)
	}
	return list
}
