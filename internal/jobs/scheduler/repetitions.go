package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// dueJobs returns the jobs with a due repetition. They are sorted by arrival, so that the same events produce the same
// effects.
func (s *Scheduler) dueJobs(now Now) []*jobState {
	var due []*jobState
	for j := range s.jobsAwaitingRepetition {
		if j.nextDueMS <= now.WallMS {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *jobState) int { return cmp.Compare(a.Arrival, b.Arrival) })
	return due
}

// NextDueMS returns the earliest due time of the repetitions that have not started, in milliseconds since 1970. It returns 0
// if there is none.
func (s *Scheduler) NextDueMS() int64 {
	if !s.nextDueStale {
		return s.nextDueMS
	}
	s.nextDueMS, s.nextDueStale = 0, false
	for j := range s.jobsAwaitingRepetition {
		if s.nextDueMS == 0 || j.nextDueMS < s.nextDueMS {
			s.nextDueMS = j.nextDueMS
		}
	}
	return s.nextDueMS
}

// scheduleRepetition sets when a job's next repetition starts.
func (s *Scheduler) scheduleRepetition(j *jobState, dueMS int64) {
	j.nextDueMS = dueMS
	s.jobsAwaitingRepetition[j] = true
	s.nextDueStale = true
}

// unscheduleRepetition removes a job from the jobs that await a repetition.
func (s *Scheduler) unscheduleRepetition(j *jobState) {
	if s.jobsAwaitingRepetition[j] {
		delete(s.jobsAwaitingRepetition, j)
		s.nextDueStale = true
	}
}

// startDueRepetitions starts a job's repetitions that are due, and schedules the next one.
func (s *Scheduler) startDueRepetitions(now Now, j *jobState) {
	for len(j.repetitions) < j.Specification.RepetitionCount() {
		dueMS := j.dueMS(len(j.repetitions))
		if dueMS > now.WallMS {
			s.scheduleRepetition(j, dueMS)
			return
		}
		repetition := newRepetitionState(j, len(j.repetitions))
		j.repetitions = append(j.repetitions, repetition)
		s.startReadyStages(now, repetition)
	}
	j.nextDueMS = 0
	s.unscheduleRepetition(j)
}

func newRepetitionState(j *jobState, number int) *repetitionState {
	repetition := &repetitionState{number: number, incompleteStages: len(j.Specification.Stages)}
	for i := range j.Specification.Stages {
		stage := &j.Specification.Stages[i]
		repetition.stages = append(repetition.stages, &stageState{Stage: stage, job: j, repetition: repetition, number: i, incompleteTasks: stage.Count})
	}
	repetition.setDeadlines(j)
	return repetition
}

// startReadyStages queues the tasks of each stage that has not started and whose dependencies are all complete.
func (s *Scheduler) startReadyStages(now Now, repetition *repetitionState) {
	for _, stage := range repetition.stages {
		if stage.tasks != nil || !repetition.stagesComplete(stage.DependsOn) {
			continue
		}
		stage.createTasks()
		costs := s.unitCostsFor(stage)
		for _, task := range stage.tasks {
			if s.enqueue(now, task) {
				costs.bindToLeastCost(task)
			}
		}
	}
}

func (repetition *repetitionState) stagesComplete(stages []int) bool {
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

// completeRepetition marks a repetition as complete. If it is the last one, the job ends. Otherwise a single record
// replaces the records of the repetition's tasks.
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
