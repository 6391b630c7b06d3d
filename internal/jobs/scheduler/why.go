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
	s.reorder(now)
	for _, r := range j.times {
		if r == nil {
			continue
		}
		for _, stage := range r.stages {
			s.explainStage(now, &why, stage)
		}
	}
	if j.nextDue != 0 && j.nextDue > now.WallMS {
		why.Waiting = append(why.Waiting, jobreport.Waiting{Repetition: len(j.times), Reason: jobreport.ReasonNotDue, DueMS: j.nextDue})
	}
	return why, true
}

func (s *Scheduler) explainStage(now Now, why *jobreport.Why, stage *stageRun) {
	if stage.left == 0 || stage.tasks != nil && len(stage.waiting) == 0 {
		return
	}
	if len(why.Waiting) >= mostWaiting {
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
func explainBlocked(stage *stageRun) jobreport.Waiting {
	waiting := jobreport.Waiting{
		Repetition: stage.repetition.number, Stage: stage.number, Tasks: stage.Count, Request: stage.Resources,
		Reason: jobreport.ReasonDependsOn,
	}
	for _, number := range stage.DependsOn {
		if stage.repetition.stages[number].left > 0 {
			waiting.DependsOn = append(waiting.DependsOn, number)
		}
	}
	return waiting
}

func (s *Scheduler) explainWaiting(now Now, stage *stageRun) jobreport.Waiting {
	waiting := jobreport.Waiting{
		Repetition: stage.repetition.number, Stage: stage.number, Tasks: len(stage.waiting), Request: stage.Resources,
		AgeMS: now.Steady.Sub(stage.readyAt).Milliseconds(), Ahead: max(0, slices.Index(s.stages, stage)),
	}
	open := 0
	for _, sr := range s.list {
		cause := s.ruledOut(now, stage, sr)
		if cause != "" {
			waiting.RuledOut = addRuledOut(waiting.RuledOut, cause, string(sr.ID))
			continue
		}
		open++
		if len(waiting.Open) < fewWorkers {
			waiting.Open = append(waiting.Open, string(sr.ID))
		}
	}
	waiting.Reason = s.reason(now, stage, open)
	return waiting
}

func (s *Scheduler) reason(now Now, stage *stageRun, open int) jobreport.Reason {
	switch {
	case stage.GangScheduled && len(stage.waiting) < max(stage.left, stage.Count):
		return jobreport.ReasonGangParts
	case pausing(now, stage):
		return jobreport.ReasonPause
	case open == 0:
		return jobreport.ReasonNoWorker
	case stage.GangScheduled && s.roomForMembers(now, stage) < stage.Count:
		return jobreport.ReasonGangRoom
	}
	return jobreport.ReasonTurn
}

// pausing tells whether no task of the stage may start right now after starts that went wrong. A gang pauses with any
// of its members.
func pausing(now Now, stage *stageRun) bool {
	paused := 0
	for _, t := range stage.waiting {
		if now.Steady.Before(t.notBefore) {
			paused++
		}
	}
	return paused == len(stage.waiting) || stage.GangScheduled && paused > 0
}

// roomForMembers counts the members of a gang that could start at once.
func (s *Scheduler) roomForMembers(now Now, stage *stageRun) int {
	members := 0
	for _, sr := range s.list {
		if !s.isOpen(now, sr) {
			continue
		}
		for planned := 0; members < stage.Count && s.admits(stage, sr, planned); planned++ {
			members++
		}
	}
	return members
}

// ruledOut is the first cause for which a worker does not take a task of a stage now; empty if it could.
func (s *Scheduler) ruledOut(now Now, stage *stageRun, sr *worker) jobreport.Cause {
	if s.isOpen(now, sr) && s.admits(stage, sr, 0) {
		return ""
	}
	if cause := s.neverTakes(stage, sr); cause != "" {
		return cause
	}
	switch {
	case !sr.listed:
		return jobreport.CauseUnlisted
	case !sr.reachable:
		return jobreport.CauseUnreachable
	case sr.fencedAt.IsZero():
		return jobreport.CauseNotFenced
	case len(sr.orphans) > 0:
		return jobreport.CauseUnwantedRuns
	case s.resting(now, sr):
		return jobreport.CauseResting
	case float64(len(sr.runs)) >= sr.window:
		return jobreport.CauseWindow
	case !sr.free().Fits(stage.Resources):
		return jobreport.CauseRoom
	case stage.AntiAffinity > 0 && sr.tasksOf(stage) >= stage.AntiAffinity:
		return jobreport.CauseAntiAffinity
	}
	return jobreport.CauseOther
}

// neverTakes is why a worker does not suit a stage whatever its load.
func (s *Scheduler) neverTakes(stage *stageRun, sr *worker) jobreport.Cause {
	for _, label := range stage.Requirements {
		if !sr.hasLabel(label) {
			return jobreport.CauseLabel
		}
	}
	switch {
	case !sr.Capacity.Fits(stage.Resources):
		return jobreport.CauseSize
	case sr.Draining:
		return jobreport.CauseDraining
	case s.operatorDrains.has(sr.ID):
		return jobreport.CauseOperatorDraining
	}
	return ""
}

func addRuledOut(list []jobreport.RuledOut, cause jobreport.Cause, worker string) []jobreport.RuledOut {
	at := slices.IndexFunc(list, func(one jobreport.RuledOut) bool { return one.Cause == cause })
	if at < 0 {
		list = append(list, jobreport.RuledOut{Cause: cause})
		at = len(list) - 1
	}
	list[at].Count++
	if len(list[at].Workers) < fewWorkers {
		list[at].Workers = append(list[at].Workers, worker)
	}
	return list
}
