package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// Explain returns the reasons why a job's tasks wait, and reports whether the job is known. The explanation is consistent
// with Dispatch: a task may start at a worker if and only if no cause excludes the worker.
func (s *Scheduler) Explain(now Now, id job.ID) (explanation jobreport.Explanation, known bool) {
	state, known := s.Status(id)
	if !known {
		return explanation, false
	}
	explanation = jobreport.Explanation{ID: id, State: state}
	j := s.jobs[id]
	if j == nil {
		return explanation, true
	}
	s.orderQueue(now)
	for _, repetition := range j.repetitions {
		if repetition == nil {
			continue
		}
		for _, stage := range repetition.stages {
			s.explainStage(now, &explanation, stage)
		}
	}
	if j.nextDueMS != 0 && j.nextDueMS > now.WallMS {
		explanation.WaitingStages = append(explanation.WaitingStages, jobreport.WaitingStage{Repetition: len(j.repetitions), Reason: jobreport.ReasonNotDue, DueMS: j.nextDueMS})
	}
	return explanation, true
}

// explainStage adds a stage to the explanation if any of its tasks wait.
func (s *Scheduler) explainStage(now Now, explanation *jobreport.Explanation, stage *stageState) {
	if stage.incompleteTasks == 0 || stage.tasks != nil && len(stage.waiting) == 0 {
		return
	}
	if len(explanation.WaitingStages) >= maxExplainedStages {
		explanation.Truncated = true
		return
	}
	if stage.tasks == nil {
		explanation.WaitingStages = append(explanation.WaitingStages, explainBlocked(stage))
		return
	}
	explanation.WaitingStages = append(explanation.WaitingStages, s.explainWaiting(now, stage))
}

// explainBlocked explains a stage that depends on incomplete stages.
func explainBlocked(stage *stageState) jobreport.WaitingStage {
	waiting := jobreport.WaitingStage{
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

// explainWaiting explains a stage whose tasks wait for a start. It checks for each worker whether it could take a task.
func (s *Scheduler) explainWaiting(now Now, stage *stageState) jobreport.WaitingStage {
	waiting := jobreport.WaitingStage{
		Repetition: stage.repetition.number, Stage: stage.number, Tasks: len(stage.waiting), Request: stage.Resources,
		WaitMS: now.Monotonic.Sub(stage.waitingSince).Milliseconds(), StagesAhead: max(0, slices.Index(s.waitingStages, stage)),
	}
	var accepting []*workerState
	for _, worker := range s.sortedWorkers {
		cause := s.exclusionCause(now, stage, worker)
		if cause != "" {
			waiting.Exclusions = addExclusion(waiting.Exclusions, cause, string(worker.ID))
			continue
		}
		accepting = append(accepting, worker)
		if len(waiting.AcceptingWorkers) < maxNamedWorkers {
			waiting.AcceptingWorkers = append(waiting.AcceptingWorkers, string(worker.ID))
		}
	}
	waiting.Reason = s.waitingReason(now, stage, accepting)
	return waiting
}

// waitingReason returns the first reason that applies to a stage. The accepting workers could take a task of it.
func (s *Scheduler) waitingReason(now Now, stage *stageState, accepting []*workerState) jobreport.Reason {
	switch {
	case stage.GangScheduled && len(stage.waiting) < max(stage.incompleteTasks, stage.Count):
		return jobreport.ReasonGangActive
	case isStageBackingOff(now, stage):
		return jobreport.ReasonBackoff
	case len(accepting) == 0:
		return jobreport.ReasonNoWorker
	case stage.GangScheduled && s.membersWithRoom(stage, accepting) < stage.Count:
		return jobreport.ReasonGangCapacity
	}
	return jobreport.ReasonQueueOrder
}

// isStageBackingOff reports whether no task of the stage may start at present because of failed starts. A gang backs off as
// a whole if any of its members does.
func isStageBackingOff(now Now, stage *stageState) bool {
	backingOff := 0
	for _, task := range stage.waiting {
		if now.Monotonic.Before(task.backoffUntil) {
			backingOff++
		}
	}
	return backingOff == len(stage.waiting) || stage.GangScheduled && backingOff > 0
}

// exclusionCause returns the first cause that prevents a worker from taking a task of a stage at present. It returns an
// empty cause if the worker could take one. Windows do not exclude workers from gangs, which may exceed them.
func (s *Scheduler) exclusionCause(now Now, stage *stageState, worker *workerState) jobreport.Cause {
	windowAdmits := stage.GangScheduled || worker.windowAdmits(0, 1)
	if s.acceptsStarts(now, worker) && windowAdmits && s.hasRoom(stage, worker, 0) {
		return ""
	}
	if cause := s.ineligibilityCause(stage, worker); cause != "" {
		return cause
	}
	switch {
	case !worker.inInventory:
		return jobreport.CauseNotInInventory
	case !worker.reachable:
		return jobreport.CauseUnreachable
	case worker.fencedAt.IsZero():
		return jobreport.CauseNotFenced
	case len(worker.orphans) > 0:
		return jobreport.CauseOrphans
	case worker.isBackingOff(now):
		return jobreport.CauseBackoff
	case !windowAdmits:
		return jobreport.CauseWindow
	case !worker.freeCapacity().Fits(stage.Resources):
		return jobreport.CauseFreeCapacity
	case stage.AntiAffinity > 0 && worker.attemptsOfStage(stage) >= stage.AntiAffinity:
		return jobreport.CauseAntiAffinity
	}
	return jobreport.CauseOther
}

// ineligibilityCause returns the cause that prevents a worker from taking tasks of a stage, whatever the worker's load. It
// returns an empty cause if there is none. See isEligible.
func (s *Scheduler) ineligibilityCause(stage *stageState, worker *workerState) jobreport.Cause {
	for _, label := range stage.Requirements {
		if !worker.hasLabel(label) {
			return jobreport.CauseMissingLabel
		}
	}
	switch {
	case !worker.Capacity.Fits(stage.Resources):
		return jobreport.CauseTotalCapacity
	case worker.Draining:
		return jobreport.CauseDraining
	case s.operatorDrains.isDraining(worker.ID):
		return jobreport.CauseOperatorDraining
	}
	return ""
}

// addExclusion counts a worker under the cause that excludes it. For each cause, it lists the first maxNamedWorkers
// workers.
func addExclusion(exclusions []jobreport.Exclusion, cause jobreport.Cause, worker string) []jobreport.Exclusion {
	index := slices.IndexFunc(exclusions, func(exclusion jobreport.Exclusion) bool { return exclusion.Cause == cause })
	if index < 0 {
		exclusions = append(exclusions, jobreport.Exclusion{Cause: cause})
		index = len(exclusions) - 1
	}
	exclusions[index].Count++
	if len(exclusions[index].Workers) < maxNamedWorkers {
		exclusions[index].Workers = append(exclusions[index].Workers, worker)
	}
	return exclusions
}
