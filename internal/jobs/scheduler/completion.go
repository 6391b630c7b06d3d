package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	maxAvoidedWorkers = 4 // workers that a task avoids
)

// handleCompletion takes one entry of a worker's list of ends.
func (s *Scheduler) handleCompletion(now Now, worker *workerState, completion *workerclient.FinishedTask) {
	if completion.CompletionNumber <= worker.lastCompletion {
		return
	}
	worker.lastCompletion = completion.CompletionNumber
	s.acknowledgeCompletions(worker)
	attempt := worker.attempts[completion.Task]
	if attempt != nil && attempt.number != completion.AttemptNumber {
		attempt = nil
	}
	if attempt != nil {
		s.recordOutcome(now, attempt, completion.How)
		s.removeAttempt(attempt)
	}
	task := s.findTask(completion.Task)
	if task == nil || task.done {
		return
	}
	if completion.Checkpoint != "" {
		task.recordCheckpoint(completion.Checkpoint)
	}
	switch {
	case task.stage.LongRunning:
		s.retry(now, task, completion.AttemptNumber) // started again however it ends
	case completion.How == job.OutcomeDone && (attempt != nil || len(task.attempts) == 0 || task.stage.AtLeastOnce):
		s.handleSuccess(now, task)
	case completion.How == job.OutcomeFailed:
		s.handleFailure(now, task, worker, completion.AttemptNumber)
	case attempt != nil:
		s.retry(now, task, completion.AttemptNumber)
	}
}

func (s *Scheduler) handleSuccess(now Now, task *taskState) {
	if !task.stage.GangScheduled {
		s.completeTask(now, task)
		return
	}
	for _, member := range task.stage.tasks { // one such end counts for all members
		s.completeTask(now, member)
	}
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

// handleFailure counts a run that ended failed; the job fails with the last attempt.
func (s *Scheduler) handleFailure(now Now, task *taskState, worker *workerState, number uint64) {
	counter := task
	if task.stage.GangScheduled {
		counter = task.stage.tasks[0]
	}
	if !slices.Contains(counter.failedAttempts, number) {
		counter.failedAttempts = append(counter.failedAttempts, number)
	}
	if !task.stage.LongRunning && len(counter.failedAttempts) >= max(1, task.stage.job.Queue.MaxAttempts) {
		s.endJob(now, task.stage.job, job.Failed)
		return
	}
	if counter != task {
		s.writeTaskRecord(counter)
	}
	task.avoidWorker(worker)
	s.retry(now, task, number)
}

// avoidWorker lets a task start elsewhere rather than where it has just failed.
func (task *taskState) avoidWorker(worker *workerState) {
	task.avoidedWorkers = append(task.avoidedWorkers, worker.ID)
	if len(task.avoidedWorkers) > maxAvoidedWorkers {
		task.avoidedWorkers = task.avoidedWorkers[1:]
	}
}

// recordCheckpoint notes the newest checkpoint, for the whole gang if the task is a member of one.
func (task *taskState) recordCheckpoint(checkpoint string) {
	if !task.stage.Checkpoints {
		return
	}
	if !task.stage.GangScheduled {
		task.checkpoint = checkpoint
		return
	}
	for _, member := range task.stage.tasks {
		member.checkpoint = checkpoint
	}
}

// retry lets a task wait for another run once no run of it is under way.
func (s *Scheduler) retry(now Now, task *taskState, number uint64) {
	if task.done || task.stage.job.ended {
		return
	}
	s.writeTaskRecord(task)
	if task.stage.GangScheduled {
		s.abandonGangAttempt(now, task.stage, number)
	}
	for _, attempt := range task.attempts {
		if !attempt.released {
			return
		}
	}
	s.enqueueAndBind(now, task)
}

// over ends a run that is certainly not under way any more, without an end listed.
func (s *Scheduler) endAttempt(now Now, attempt *attemptState) {
	task := attempt.task
	s.removeAttempt(attempt)
	if task.done || task.stage.job.ended {
		return
	}
	if attempt.checkpoint != "" {
		task.recordCheckpoint(attempt.checkpoint)
	}
	s.retry(now, task, attempt.number)
}

// removeAttempt forgets a run.
func (s *Scheduler) removeAttempt(attempt *attemptState) {
	worker := attempt.worker
	if worker.attempts[attempt.task.id] != attempt {
		return
	}
	delete(worker.attempts, attempt.task.id)
	worker.used = worker.used.Subtract(attempt.task.stage.Resources)
	attempt.task.attempts = slices.DeleteFunc(attempt.task.attempts, func(other *attemptState) bool { return other == attempt })
	s.orderStale = true
}
