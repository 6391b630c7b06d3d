package scheduler

import (
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// maxAvoidedWorkers is how many workers a task avoids; the oldest is dropped for a further one.
const maxAvoidedWorkers = 4

// handleCompletion takes one completion from a worker's report. A worker lists it until it is acknowledged, so that the
// same one may come many times; each counts once, by its number. It may be of an attempt that is not known here any more.
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
	if completion.Checkpoint != "" {
		task.recordCheckpoint(completion.Checkpoint)
	}
	switch {
	case task.stage.LongRunning:
		s.retry(now, task, completion.AttemptNumber) // started again whatever the outcome
	case completion.Outcome == job.OutcomeDone && (attempt != nil || len(task.attempts) == 0 || task.stage.AtLeastOnce):
		s.handleSuccess(now, task)
	case completion.Outcome == job.OutcomeFailed:
		s.handleFailure(now, task, worker, completion.AttemptNumber)
	case attempt != nil:
		s.retry(now, task, completion.AttemptNumber)
	}
}

// handleSuccess completes a task, or a whole gang.
func (s *Scheduler) handleSuccess(now Now, task *taskState) {
	if !task.stage.GangScheduled {
		s.completeTask(now, task)
		return
	}
	for _, member := range task.stage.tasks { // one such completion counts for all members
		s.completeTask(now, member)
	}
}

// completeTask marks a task as done, and begins what depended on it: the next stages, the end of the repetition or of the
// job.
func (s *Scheduler) completeTask(now Now, task *taskState) {
	if task.done {
		return
	}
	task.done = true
	s.dequeue(task)
	s.writeTaskRecord(task)
	for _, attempt := range task.attempts {
		if !task.stage.GangScheduled { // members of a gang end together without a stop
			s.stopAttempt(attempt)
		}
	}
	stage := task.stage
	stage.incompleteTasks--
	if stage.incompleteTasks > 0 {
		return
	}
	if stage.GangScheduled {
		s.abandonGangAttempt(now, stage, task.attemptNumber) // members that do not end soon are stopped
	}
	stage.repetition.incompleteStages--
	if stage.repetition.incompleteStages == 0 {
		s.completeRepetition(now, stage.job, stage.repetition)
		return
	}
	stage.repetition.remainingMS = stage.repetition.criticalPathMS()
	s.beginReadyStages(now, stage.repetition)
}

// handleFailure counts a failed attempt. The job fails with the last one that its queue allows.
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

// avoidWorker makes a worker costlier for a task that has just failed or crawled there.
func (task *taskState) avoidWorker(worker *workerState) {
	task.avoidedWorkers = append(task.avoidedWorkers, worker.ID)
	if len(task.avoidedWorkers) > maxAvoidedWorkers {
		task.avoidedWorkers = task.avoidedWorkers[1:]
	}
}

// recordCheckpoint sets the newest checkpoint, for the whole gang if the task is a member of one.
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

// retry queues a task for another attempt once none that rules out a further one is under way.
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

// endAttempt ends an attempt that is certainly not under way any more although no completion was reported.
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

// addAttempt adds an attempt to its task and its worker, and reserves its capacity.
func (s *Scheduler) addAttempt(attempt *attemptState) {
	task, worker := attempt.task, attempt.worker
	task.attempts = append(task.attempts, attempt)
	worker.attempts[task.id] = attempt
	worker.used = worker.used.Add(task.stage.Resources)
}

// removeAttempt takes an attempt off its task and its worker, and frees its capacity.
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
