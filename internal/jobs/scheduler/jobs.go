package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// beginDueRepetitions begins the repetitions that are due.
func (s *Scheduler) beginDueRepetitions(now Now, j *jobState) {
	for len(j.repetitions) < j.Specification.RepetitionCount() {
		dueMS := j.dueMS(len(j.repetitions))
		if dueMS > now.WallMS {
			s.scheduleRepetition(j, dueMS)
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
	repetition := &repetitionState{number: number, incompleteStages: len(j.Specification.Stages)}
	defer repetition.setDeadlines(j)
	for i := range j.Specification.Stages {
		stage := &j.Specification.Stages[i]
		repetition.stages = append(repetition.stages, &stageState{Stage: stage, job: j, repetition: repetition, number: i, incompleteTasks: stage.Count})
	}
	return repetition
}

// beginReadyStages lets the tasks wait of each stage whose turn has come.
func (s *Scheduler) beginReadyStages(now Now, repetition *repetitionState) {
	for _, stage := range repetition.stages {
		if stage.tasks != nil || !repetition.areComplete(stage.DependsOn) {
			continue
		}
		stage.createTasks()
		costs := s.unitCostsFor(stage)
		for _, task := range stage.tasks {
			if s.enqueue(now, task) {
				costs.bindLeastCost(task)
			}
		}
	}
}

func (repetition *repetitionState) areComplete(stages []int) bool {
	for _, number := range stages {
		if repetition.stages[number].incompleteTasks > 0 {
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
func (s *Scheduler) enqueueAndBind(now Now, task *taskState) {
	if s.enqueue(now, task) {
		s.bindTask(now, task)
	}
}

// enqueue puts a task among those to be started, unless it is there or needs no start, and leaves it unbound.
func (s *Scheduler) enqueue(now Now, task *taskState) bool {
	stage := task.stage
	if task.done || stage.job.ended || slices.Contains(stage.waiting, task) {
		return false
	}
	if len(stage.waiting) == 0 {
		stage.waitingSince = now.Monotonic
	}
	stage.waiting = append(stage.waiting, task)
	if !stage.queued {
		stage.queued = true
		s.waitingStages = append(s.waitingStages, stage)
	}
	s.orderStale = true
	return true
}

// dequeue takes a task from those to be started.
func (s *Scheduler) dequeue(task *taskState) {
	stage := task.stage
	at := slices.Index(stage.waiting, task)
	if at < 0 {
		return
	}
	stage.waiting = slices.Delete(stage.waiting, at, at+1)
	s.unbindTask(task)
	s.orderStale = true
}

// completeTask notes that a task has ended done.
func (s *Scheduler) completeTask(now Now, task *taskState) {
	if task.done {
		return
	}
	task.done = true
	s.dequeue(task)
	s.writeTaskRecord(task)
	for _, attempt := range task.attempts {
		if !task.stage.GangScheduled { // members of a gang end together by themselves
			s.stopAttempt(attempt)
		}
	}
	stage := task.stage
	stage.incompleteTasks--
	if stage.incompleteTasks > 0 {
		return
	}
	if stage.GangScheduled {
		s.abandonGangAttempt(now, stage, task.attemptNumber) // whoever has not ended by itself soon is stopped
	}
	stage.repetition.incompleteStages--
	if stage.repetition.incompleteStages == 0 {
		s.completeRepetition(now, stage.job, stage.repetition)
		return
	}
	stage.repetition.remainingMS = stage.repetition.criticalPathMS()
	s.beginReadyStages(now, stage.repetition)
}

func (s *Scheduler) completeRepetition(now Now, j *jobState, repetition *repetitionState) {
	j.incompleteRepetitions--
	if j.incompleteRepetitions == 0 {
		s.endJob(now, j, job.Completed)
		return
	}
	s.eraseTaskRecords(repetition)
	j.repetitions[repetition.number] = nil
	s.writeRecord(repetitionKey(j.id, repetition.number), repetitionRecord{Complete: true})
}

func (s *Scheduler) eraseTaskRecords(repetition *repetitionState) {
	for _, stage := range repetition.stages {
		for _, task := range stage.tasks {
			if task.hasRecord {
				s.eraseRecord(taskKey(task.id))
			}
		}
	}
}

// endJob ends a job for good and stops what still runs of it.
func (s *Scheduler) endJob(now Now, j *jobState, state job.State) {
	j.ended = true
	s.unscheduleRepetition(j)
	for number, repetition := range j.repetitions {
		if repetition == nil {
			s.eraseRecord(repetitionKey(j.id, number))
			continue
		}
		s.eraseTaskRecords(repetition)
		for _, stage := range repetition.stages {
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
	for _, task := range stage.tasks {
		for _, attempt := range task.attempts {
			if !task.done || !stage.GangScheduled {
				s.stopAttempt(attempt)
			}
		}
	}
}

// stopAttempt orders a run stopped, once.
func (s *Scheduler) stopAttempt(attempt *attemptState) {
	if attempt.stopping {
		return
	}
	attempt.stopping = true
	command := &workerclient.StopOrder{Task: attempt.task.id, Execution: attempt.number}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: attempt.worker.ID, Stop: command})
}

// pruneEndedJobs drops the states of jobs that ended long ago. The time of day, which may be set, is believed only together
// with the steady clock: a job that is forgotten too early would run once more if it were handed in again.
func (s *Scheduler) pruneEndedJobs(now Now) {
	oldestMS := now.WallMS - s.settings.StatusRetention.Milliseconds()
	for id, record := range s.ended {
		if now.Monotonic.Sub(record.endedAt) < s.settings.StatusRetention {
			continue
		}
		if record.EndedMS < oldestMS || record.EndedMS > now.WallMS {
			delete(s.ended, id)
			s.eraseRecord(endedKey(id))
		}
	}
}
