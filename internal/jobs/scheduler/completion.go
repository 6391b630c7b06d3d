package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// maxAvoidedWorkers is the maximum number of workers that a task avoids. A further worker replaces the oldest one.
const maxAvoidedWorkers = 4

// handleCompletion processes one completion from a worker's report. A worker reports a completion until it is acknowledged,
// so the same one may arrive many times. Completions that were processed before are recognized by their number and ignored.
// The completion may belong to an attempt that is no longer known here.
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
		s.recordOutcome(now, attempt, completion.Outcome)
		s.removeAttempt(attempt)
	}
	task := s.findTask(completion.Task)
	if task == nil || task.done {
		return
	}
	s.recordCheckpoint(task, completion.Checkpoint)
	switch {
	case task.stage.LongRunning:
		s.retry(now, task, completion.AttemptNumber) // a long-running task restarts after any outcome
	case completion.Outcome == job.OutcomeDone && (attempt != nil || len(task.attempts) == 0 || task.stage.AtLeastOnce):
		s.handleSuccess(now, task)
	case completion.Outcome == job.OutcomeFailed:
		s.handleFailure(now, task, worker, completion.AttemptNumber)
	case attempt != nil:
		s.retry(now, task, completion.AttemptNumber)
	}
}

// handleSuccess completes a task. If the task is a member of a gang, it completes all members.
func (s *Scheduler) handleSuccess(now Now, task *taskState) {
	if !task.stage.GangScheduled {
		s.completeTask(now, task)
		return
	}
	for _, member := range task.stage.tasks { // one successful member means that all have succeeded
		s.completeTask(now, member)
	}
}

// completeTask marks a task as done and stops its other attempts. If this completes the stage, it starts the stages that are
// now ready, or completes the repetition and possibly the job.
func (s *Scheduler) completeTask(now Now, task *taskState) {
	if task.done {
		return
	}
	task.done = true
	s.dequeue(task)
	s.writeTaskRecord(task)
	for _, attempt := range task.attempts {
		if !task.stage.GangScheduled { // the members of a gang end together without being stopped
			s.stopAttempt(attempt)
		}
	}
	stage := task.stage
	stage.incompleteTasks--
	if stage.incompleteTasks > 0 {
		return
	}
	if stage.GangScheduled {
		s.abandonGangAttempt(now, stage, task.attemptNumber) // members that have not ended after gangStopDelay are stopped
	}
	stage.repetition.incompleteStages--
	if stage.repetition.incompleteStages == 0 {
		s.completeRepetition(now, stage.job, stage.repetition)
		return
	}
	stage.repetition.remainingMS = stage.repetition.criticalPathMS()
	s.startReadyStages(now, stage.repetition)
}

// handleFailure counts a failed attempt and queues the task again. The job fails if the task has reached the number of failed
// attempts that the job's queue allows. The failures of a gang are counted at its first member.
func (s *Scheduler) handleFailure(now Now, task *taskState, worker *workerState, number uint64) {
	countedTask := task
	if task.stage.GangScheduled {
		countedTask = task.stage.tasks[0]
	}
	if !slices.Contains(countedTask.failedAttempts, number) {
		countedTask.failedAttempts = append(countedTask.failedAttempts, number)
	}
	if !task.stage.LongRunning && len(countedTask.failedAttempts) >= max(1, task.stage.job.Queue.MaxAttempts) {
		s.endJob(now, task.stage.job, job.Failed)
		return
	}
	if countedTask != task {
		s.writeTaskRecord(countedTask)
	}
	task.avoidWorker(worker)
	s.retry(now, task, number)
}

// avoidWorker raises the cost of a worker for a task that has failed or run slowly there.
func (task *taskState) avoidWorker(worker *workerState) {
	task.avoidedWorkers = append(task.avoidedWorkers, worker.ID)
	if len(task.avoidedWorkers) > maxAvoidedWorkers {
		task.avoidedWorkers = task.avoidedWorkers[1:]
	}
}

// retry queues a task for another attempt, unless an attempt that has not been released may still be running. It also writes
// the task's record and abandons the attempt of a gang.
func (s *Scheduler) retry(now Now, task *taskState, number uint64) {
	if task.done || task.stage.job.ended {
		return
	}
	s.writeTaskRecord(task)
	if task.stage.GangScheduled {
		s.abandonGangAttempt(now, task.stage, number)
	}
	for _, attempt := range task.attempts {
		if !attempt.taskReleased {
			return
		}
	}
	s.enqueueAndBind(now, task)
}

// endAttempt removes an attempt that has certainly ended although no completion was reported, and retries its task.
func (s *Scheduler) endAttempt(now Now, attempt *attemptState) {
	task := attempt.task
	s.removeAttempt(attempt)
	if task.done || task.stage.job.ended {
		return
	}
	s.recordCheckpoint(task, attempt.checkpoint)
	s.retry(now, task, attempt.number)
}

// addAttempt adds an attempt to its task and its worker, and reserves the requested capacity on the worker.
func (s *Scheduler) addAttempt(attempt *attemptState) {
	task, worker := attempt.task, attempt.worker
	task.attempts = append(task.attempts, attempt)
	worker.attempts[task.id] = attempt
	worker.used = worker.used.Add(task.stage.Resources)
}

// removeAttempt removes an attempt from its task and its worker, and releases the reserved capacity.
func (s *Scheduler) removeAttempt(attempt *attemptState) {
	worker := attempt.worker
	if worker.attempts[attempt.task.id] != attempt {
		return
	}
	delete(worker.attempts, attempt.task.id)
	if attempt.proven {
		worker.provenAttempts--
	}
	worker.used = worker.used.Subtract(attempt.task.stage.Resources)
	attempt.task.attempts = slices.DeleteFunc(attempt.task.attempts, func(other *attemptState) bool { return other == attempt })
	s.orderStale = true
}
