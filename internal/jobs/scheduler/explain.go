package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// Why tells why a job's tasks wait. It follows the decisions of Dispatch: a task may start at a worker exactly if no
// cause rules the worker out.
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

// explainBlocked explains a stage whose turn has not come.
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
		if len(waiting.Open) < maxNamedWorkers {
			waiting.Open = append(waiting.Open, string(worker.ID))
		}
	}
	waiting.Reason = s.waitingReason(now, stage, open)
	return waiting
}

func (s *Scheduler) waitingReason(now Now, stage *stageState, open int) jobreport.Reason {
	switch {
	case stage.GangScheduled && len(stage.waiting) < max(stage.incompleteTasks, stage.Count):
		return jobreport.ReasonGangActive
	case isBackingOff(now, stage):
		return jobreport.ReasonBackoff
	case open == 0:
		return jobreport.ReasonNoWorker
	case stage.GangScheduled && s.placeableMembers(now, stage) < stage.Count:
		return jobreport.ReasonGangCapacity
	}
	return jobreport.ReasonTurn
}

// isBackingOff tells whether no task of the stage may start right now after starts that went wrong. A gang pauses with any
// of its members.
func isBackingOff(now Now, stage *stageState) bool {
	paused := 0
	for _, task := range stage.waiting {
		if now.Monotonic.Before(task.backoffUntil) {
			paused++
		}
	}
	return paused == len(stage.waiting) || stage.GangScheduled && paused > 0
}

// placeableMembers counts the members of a gang that could start at once.
func (s *Scheduler) placeableMembers(now Now, stage *stageState) int {
	members := 0
	for _, worker := range s.sortedWorkers {
		if !s.isOpen(now, worker) {
			continue
		}
		for planned := 0; members < stage.Count && s.admits(stage, worker, planned); planned++ {
			members++
		}
	}
	return members
}

// exclusionCause is the first cause for which a worker does not take a task of a stage now; empty if it could.
func (s *Scheduler) exclusionCause(now Now, stage *stageState, worker *workerState) jobreport.Cause {
	if s.isOpen(now, worker) && s.admits(stage, worker, 0) {
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
	case s.isBackingOff(now, worker):
		return jobreport.CauseBackoff
	case float64(len(worker.attempts)) >= worker.window:
		return jobreport.CauseWindow
	case !worker.free().Fits(stage.Resources):
		return jobreport.CauseCapacity
	case stage.AntiAffinity > 0 && worker.attemptsOfStage(stage) >= stage.AntiAffinity:
		return jobreport.CauseAntiAffinity
	}
	return jobreport.CauseOther
}

// ineligibilityCause is why a worker does not suit a stage whatever its load.
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
