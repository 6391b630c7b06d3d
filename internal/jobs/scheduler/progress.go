package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// advance begins the repetitions that are due.
func (s *Scheduler) advance(now Now, j *jobState) {
	for len(j.times) < j.Specification.Times() {
		due := j.dueMS(len(j.times))
		if due > now.WallMS {
			s.schedule(j, due)
			return
		}
		repetition := newRepetition(j, len(j.times))
		j.times = append(j.times, repetition)
		s.openStages(now, repetition)
	}
	j.nextDue = 0
	s.unschedule(j)
}

func newRepetition(j *jobState, number int) *repetition {
	r := &repetition{number: number, left: len(j.Specification.Stages)}
	defer r.aim(j)
	for i := range j.Specification.Stages {
		stage := &j.Specification.Stages[i]
		r.stages = append(r.stages, &stageRun{Stage: stage, job: j, repetition: r, number: i, left: stage.Count})
	}
	return r
}

// openStages lets the tasks wait of each stage whose turn has come.
func (s *Scheduler) openStages(now Now, r *repetition) {
	for _, stage := range r.stages {
		if stage.tasks != nil || !r.complete(stage.DependsOn) {
			continue
		}
		stage.makeTasks()
		costs := s.costsOf(stage)
		for _, t := range stage.tasks {
			if s.enqueue(now, t) {
				costs.bind(t)
			}
		}
	}
}

func (r *repetition) complete(stages []int) bool {
	for _, number := range stages {
		if r.stages[number].left > 0 {
			return false
		}
	}
	return true
}

func (stage *stageRun) makeTasks() {
	stage.tasks = make([]*task, stage.Count)
	for i := range stage.tasks {
		id := job.TaskID{Job: stage.job.id, Repetition: stage.repetition.number, Stage: stage.number, Index: i}
		stage.tasks[i] = &task{id: id, stage: stage}
	}
}

// find returns a task of a job that has not ended; nil if there is none whose turn has come.
func (s *Scheduler) find(id job.TaskID) *task {
	j := s.jobs[id.Job]
	if j == nil || id.Repetition >= len(j.times) || j.times[id.Repetition] == nil {
		return nil
	}
	stages := j.times[id.Repetition].stages
	if id.Stage >= len(stages) || id.Index >= len(stages[id.Stage].tasks) {
		return nil
	}
	return stages[id.Stage].tasks[id.Index]
}

// wait puts a task among those to be started.
func (s *Scheduler) wait(now Now, t *task) {
	if s.enqueue(now, t) {
		s.bind(now, t)
	}
}

// enqueue puts a task among those to be started, unless it is there or needs no start, and leaves it unbound.
func (s *Scheduler) enqueue(now Now, t *task) bool {
	stage := t.stage
	if t.done || stage.job.over || slices.Contains(stage.waiting, t) {
		return false
	}
	if len(stage.waiting) == 0 {
		stage.readyAt = now.Steady
	}
	stage.waiting = append(stage.waiting, t)
	if !stage.listed {
		stage.listed = true
		s.stages = append(s.stages, stage)
	}
	s.unsorted = true
	return true
}

// unwait takes a task from those to be started.
func (s *Scheduler) unwait(t *task) {
	stage := t.stage
	at := slices.Index(stage.waiting, t)
	if at < 0 {
		return
	}
	stage.waiting = slices.Delete(stage.waiting, at, at+1)
	s.unbind(t)
	s.unsorted = true
}

// finish notes that a task has ended done.
func (s *Scheduler) finish(now Now, t *task) {
	if t.done {
		return
	}
	t.done = true
	s.unwait(t)
	s.writeTask(t)
	for _, r := range t.runs {
		if !t.stage.GangScheduled { // members of a gang end together by themselves
			s.stop(r)
		}
	}
	stage := t.stage
	stage.left--
	if stage.left > 0 {
		return
	}
	if stage.GangScheduled {
		s.breakGang(now, stage, t.execution) // whoever has not ended by itself soon is stopped
	}
	stage.repetition.left--
	if stage.repetition.left == 0 {
		s.finishRepetition(now, stage.job, stage.repetition)
		return
	}
	stage.repetition.remaining = stage.repetition.chain()
	s.openStages(now, stage.repetition)
}

func (s *Scheduler) finishRepetition(now Now, j *jobState, r *repetition) {
	j.left--
	if j.left == 0 {
		s.endJob(now, j, job.Completed)
		return
	}
	s.eraseTasks(r)
	j.times[r.number] = nil
	s.write(repetitionKey(j.id, r.number), repetitionRecord{Complete: true})
}

func (s *Scheduler) eraseTasks(r *repetition) {
	for _, stage := range r.stages {
		for _, t := range stage.tasks {
			if t.recorded {
				s.erase(taskKey(t.id))
			}
		}
	}
}

// endJob ends a job for good and stops what still runs of it.
func (s *Scheduler) endJob(now Now, j *jobState, state job.State) {
	j.over = true
	s.unschedule(j)
	for number, r := range j.times {
		if r == nil {
			s.erase(repetitionKey(j.id, number))
			continue
		}
		s.eraseTasks(r)
		for _, stage := range r.stages {
			s.abandon(stage)
		}
	}
	s.erase(jobKey(j.id))
	record := endedRecord{State: state, EndedMS: now.WallMS}
	s.write(endedKey(j.id), record)
	record.since = now.Steady
	s.ended[j.id] = record
	delete(s.jobs, j.id)
	if s.pending[j.Queue.Route]--; s.pending[j.Queue.Route] <= 0 {
		delete(s.pending, j.Queue.Route)
	}
}

// abandon forgets a stage's waiting tasks and stops the runs of those that are not done.
func (s *Scheduler) abandon(stage *stageRun) {
	for len(stage.waiting) > 0 {
		s.unwait(stage.waiting[0])
	}
	for _, t := range stage.tasks {
		for _, r := range t.runs {
			if !t.done || !stage.GangScheduled {
				s.stop(r)
			}
		}
	}
}

// stop orders a run stopped, once.
func (s *Scheduler) stop(r *run) {
	if r.stopping {
		return
	}
	r.stopping = true
	order := &workerclient.StopOrder{Task: r.task.id, Execution: r.execution}
	s.effects.Orders = append(s.effects.Orders, Order{Worker: r.at.ID, Stop: order})
}

// forgetEnded drops the states of jobs that ended long ago. The time of day, which may be set, is believed only together
// with the steady clock: a job that is forgotten too early would run once more if it were handed in again.
func (s *Scheduler) forgetEnded(now Now) {
	oldest := now.WallMS - s.settings.StatusKept.Milliseconds()
	for id, record := range s.ended {
		if now.Steady.Sub(record.since) < s.settings.StatusKept {
			continue
		}
		if record.EndedMS < oldest || record.EndedMS > now.WallMS {
			delete(s.ended, id)
			s.erase(endedKey(id))
		}
	}
}
