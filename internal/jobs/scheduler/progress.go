package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// beginDueRepetitions begins the repetitions that are due.
func (s *Scheduler) beginDueRepetitions(now Now, j *jobState) {
	for len(j.repetitions) < j.Specification.RepetitionCount() {
		due := j.dueMS(len(j.repetitions))
		if due > now.WallMS {
			s.scheduleRepetition(j, due)
			return
		}
		repetition := newRepetitionState(j, len(j.repetitions))
		j.repetitions = append(j.repetitions, repetition)
		s.beginReadyStages(now, repetition)
	}
	j.nextDueMS = 0
	s.unscheduleRepetition(j)
}

func newRepetitionState(j *jobState, number int) *repetitionState {
	r := &repetitionState{number: number, incompleteStages: len(j.Specification.Stages)}
	defer r.setDeadlines(j)
	for i := range j.Specification.Stages {
		stage := &j.Specification.Stages[i]
		r.stages = append(r.stages, &stageState{Stage: stage, job: j, repetition: r, number: i, incompleteTasks: stage.Count})
	}
	return r
}

// beginReadyStages lets the tasks wait of each stage whose turn has come.
func (s *Scheduler) beginReadyStages(now Now, r *repetitionState) {
	for _, stage := range r.stages {
		if stage.tasks != nil || !r.areComplete(stage.DependsOn) {
			continue
		}
		stage.createTasks()
		costs := s.unitCostsFor(stage)
		for _, t := range stage.tasks {
			if s.enqueue(now, t) {
				costs.bindLeastCost(t)
			}
		}
	}
}

func (r *repetitionState) areComplete(stages []int) bool {
	for _, number := range stages {
		if r.stages[number].incompleteTasks > 0 {
			return false
		}
	}
	return true
}

func (stage *stageState) createTasks() {
	stage.tasks = make([]*taskState, stage.Count)
	for i := range stage.tasks {
		id := job.TaskID{Job: stage.job.id, Repetition: stage.repetition.number, Stage: stage.number, Index: i}
		stage.tasks[i] = &taskState{id: id, stage: stage}
	}
}

// findTask returns a task of a job that has not ended; nil if there is none whose turn has come.
func (s *Scheduler) findTask(id job.TaskID) *taskState {
	j := s.jobs[id.Job]
	if j == nil || id.Repetition >= len(j.repetitions) || j.repetitions[id.Repetition] == nil {
		return nil
	}
	stages := j.repetitions[id.Repetition].stages
	if id.Stage >= len(stages) || id.Index >= len(stages[id.Stage].tasks) {
		return nil
	}
	return stages[id.Stage].tasks[id.Index]
}

// enqueueAndBind puts a task among those to be started.
func (s *Scheduler) enqueueAndBind(now Now, t *taskState) {
	if s.enqueue(now, t) {
		s.bindTask(now, t)
	}
}

// enqueue puts a task among those to be started, unless it is there or needs no start, and leaves it unbound.
func (s *Scheduler) enqueue(now Now, t *taskState) bool {
	stage := t.stage
	if t.done || stage.job.ended || slices.Contains(stage.waiting, t) {
		return false
	}
	if len(stage.waiting) == 0 {
		stage.waitingSince = now.Monotonic
	}
	stage.waiting = append(stage.waiting, t)
	if !stage.queued {
		stage.queued = true
		s.waitingStages = append(s.waitingStages, stage)
	}
	s.orderStale = true
	return true
}

// dequeue takes a task from those to be started.
func (s *Scheduler) dequeue(t *taskState) {
	stage := t.stage
	at := slices.Index(stage.waiting, t)
	if at < 0 {
		return
	}
	stage.waiting = slices.Delete(stage.waiting, at, at+1)
	s.unbindTask(t)
	s.orderStale = true
}

// completeTask notes that a task has ended done.
func (s *Scheduler) completeTask(now Now, t *taskState) {
	if t.done {
		return
	}
	t.done = true
	s.dequeue(t)
	s.writeTaskRecord(t)
	for _, r := range t.attempts {
		if !t.stage.GangScheduled { // members of a gang end together by themselves
			s.stopAttempt(r)
		}
	}
	stage := t.stage
	stage.incompleteTasks--
	if stage.incompleteTasks > 0 {
		return
	}
	if stage.GangScheduled {
		s.abandonGangAttempt(now, stage, t.attemptNumber) // whoever has not ended by itself soon is stopped
	}
	stage.repetition.incompleteStages--
	if stage.repetition.incompleteStages == 0 {
		s.completeRepetition(now, stage.job, stage.repetition)
		return
	}
	stage.repetition.remainingMS = stage.repetition.criticalPathMS()
	s.beginReadyStages(now, stage.repetition)
}

func (s *Scheduler) completeRepetition(now Now, j *jobState, r *repetitionState) {
	j.incompleteRepetitions--
	if j.incompleteRepetitions == 0 {
		s.endJob(now, j, job.Completed)
		return
	}
	s.eraseTaskRecords(r)
	j.repetitions[r.number] = nil
	s.writeRecord(repetitionKey(j.id, r.number), repetitionRecord{Complete: true})
}

func (s *Scheduler) eraseTaskRecords(r *repetitionState) {
	for _, stage := range r.stages {
		for _, t := range stage.tasks {
			if t.hasRecord {
				s.eraseRecord(taskKey(t.id))
			}
		}
	}
}

// endJob ends a job for good and stops what still runs of it.
func (s *Scheduler) endJob(now Now, j *jobState, state job.State) {
	j.ended = true
	s.unscheduleRepetition(j)
	for number, r := range j.repetitions {
		if r == nil {
			s.eraseRecord(repetitionKey(j.id, number))
			continue
		}
		s.eraseTaskRecords(r)
		for _, stage := range r.stages {
			s.abandonStage(stage)
		}
	}
	s.eraseRecord(jobKey(j.id))
	record := endedRecord{State: state, EndedMS: now.WallMS}
	s.writeRecord(endedKey(j.id), record)
	record.endedAt = now.Monotonic
	s.ended[j.id] = record
	delete(s.jobs, j.id)
	if s.pendingByRoute[j.Queue.Route]--; s.pendingByRoute[j.Queue.Route] <= 0 {
		delete(s.pendingByRoute, j.Queue.Route)
	}
}

// abandonStage forgets a stage's waiting tasks and stops the runs of those that are not done.
func (s *Scheduler) abandonStage(stage *stageState) {
	for len(stage.waiting) > 0 {
		s.dequeue(stage.waiting[0])
	}
	for _, t := range stage.tasks {
		for _, r := range t.attempts {
			if !t.done || !stage.GangScheduled {
				s.stopAttempt(r)
			}
		}
	}
}

// stopAttempt orders a run stopped, once.
func (s *Scheduler) stopAttempt(r *attemptState) {
	if r.stopping {
		return
	}
	r.stopping = true
	order := &workerclient.StopOrder{Task: r.task.id, Execution: r.number}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: r.worker.ID, Stop: order})
}

// pruneEndedJobs drops the states of jobs that ended long ago. The time of day, which may be set, is believed only together
// with the steady clock: a job that is forgotten too early would run once more if it were handed in again.
func (s *Scheduler) pruneEndedJobs(now Now) {
	oldest := now.WallMS - s.settings.StatusRetention.Milliseconds()
	for id, record := range s.ended {
		if now.Monotonic.Sub(record.endedAt) < s.settings.StatusRetention {
			continue
		}
		if record.EndedMS < oldest || record.EndedMS > now.WallMS {
			delete(s.ended, id)
			s.eraseRecord(endedKey(id))
		}
	}
}
