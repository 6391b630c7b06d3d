package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

// findTask returns a task of a job that has not ended; nil if its repetition or stage has not begun, or is complete.
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

// enqueueAndBind queues a task for a start and binds it.
func (s *Scheduler) enqueueAndBind(now Now, task *taskState) {
	if s.enqueue(now, task) {
		s.bindTask(task)
	}
}

// enqueue queues a task for a start and leaves it unbound. It tells whether it did: not if the task is queued already or
// needs no start.
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

// dequeue takes a task off the queue, if it is there.
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
