package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// findTask returns a task of a job that has not ended. It returns nil if the job is not known or has ended, if its repetition
// or stage has not started, or if the repetition is complete.
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

// enqueueAndBind adds a task to the queue and binds it to a worker.
func (s *Scheduler) enqueueAndBind(now Now, task *taskState) {
	if s.enqueue(now, task) {
		s.bindTask(task)
	}
}

// enqueue adds a task to the queue and leaves it unbound. It returns false if the task is queued already, is done, or belongs
// to a job that has ended.
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

// dequeue removes a task from the queue, if it is queued, and unbinds it.
func (s *Scheduler) dequeue(task *taskState) {
	stage := task.stage
	index := slices.Index(stage.waiting, task)
	if index < 0 {
		return
	}
	stage.waiting = slices.Delete(stage.waiting, index, index+1)
	s.unbindTask(task)
	s.orderStale = true
}
