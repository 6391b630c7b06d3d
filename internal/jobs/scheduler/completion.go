package scheduler

import (
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// LateCommandWindow is how long after it was sent an unanswered order may still be carried out.
const LateCommandWindow = 12500 * time.Millisecond

const (
	backoffAfterUnhealthy   = time.Second            // no starts at a worker that turned one away as unhealthy
	backoffAfterFull        = 300 * time.Millisecond // nor at one that had less room than we thought
	backoffAfterFailedStart = 100 * time.Millisecond // of a task whose start went wrong
	maxAvoidedWorkers       = 4                      // workers that a task avoids
	gangStopDelay           = 700 * time.Millisecond // until the members of a broken gang are stopped by order
)

// HandleReport takes a worker's report of what runs there and what has ended.
func (s *Scheduler) HandleReport(now Now, report *workerclient.Listing) {
	worker := s.workers[report.Worker]
	if worker == nil {
		return
	}
	if worker.fencedAt.IsZero() || !worker.reachable {
		worker.reachable = true
		s.bindUnboundTasks(now)
	}
	if worker.fencedAt.IsZero() {
		worker.fencedAt = now.Monotonic
	}
	worker.fullUntil = time.Time{}
	for i := range report.Finished {
		s.handleCompletion(now, worker, &report.Finished[i])
	}
	if !report.Stale { // a newer report has said what runs there
		listed := s.matchRunning(now, worker, report)
		if !report.Partial {
			s.handleMissing(now, worker, report, listed)
		}
	}
	s.dispatchNeeded = true
}

// matchRunning matches the running list with our runs and stops what nobody wants.
func (s *Scheduler) matchRunning(now Now, worker *workerState, report *workerclient.Listing) map[job.TaskID]bool {
	if len(report.Running) == 0 {
		worker.orphans = nil
		return nil
	}
	listed := make(map[job.TaskID]bool, len(report.Running))
	var orphans map[orphanAttempt]bool
	for i := range report.Running {
		entry := &report.Running[i]
		attempt := worker.attempts[entry.Task]
		if attempt != nil && attempt.number == entry.Execution {
			listed[entry.Task] = true
			s.recordProgress(now, attempt, entry)
			continue
		}
		key := orphanAttempt{entry.Task, entry.Execution}
		if orphans == nil {
			orphans = map[orphanAttempt]bool{}
		}
		orphans[key] = true
		if !worker.orphans[key] {
			command := &workerclient.StopOrder{Task: entry.Task, Execution: entry.Execution}
			s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Stop: command})
		}
	}
	worker.orphans = orphans
	return listed
}

func (s *Scheduler) recordProgress(now Now, attempt *attemptState, entry *workerclient.RunningTask) {
	if !attempt.reported {
		attempt.reported = true
		attempt.paceSince, attempt.pacePercent = now.Monotonic, entry.Percent
	}
	attempt.reportedAt = now.Monotonic
	if entry.Percent > attempt.percent || attempt.progressedAt.IsZero() {
		attempt.percent = entry.Percent
		attempt.progressedAt = now.Monotonic
	}
	if entry.Checkpoint != "" {
		attempt.checkpoint = entry.Checkpoint
	}
	s.observePace(now, attempt)
}

// handleMissing settles the runs that a report should have listed and did not.
func (s *Scheduler) handleMissing(now Now, worker *workerState, report *workerclient.Listing, listed map[job.TaskID]bool) {
	if len(worker.attempts) == len(listed) {
		return // each one of listed is one of ours
	}
	for _, attempt := range worker.sortedAttempts() {
		if listed[attempt.task.id] {
			continue
		}
		answered := !attempt.confirmedAt.IsZero() && attempt.confirmedAt.Before(report.SentAt)
		stopped := !attempt.stopConfirmedAt.IsZero() && attempt.stopConfirmedAt.Before(report.SentAt)
		switch {
		case attempt.inherited, answered, stopped:
			s.endAttempt(now, attempt)
		case !attempt.startUnclearAt.IsZero() && attempt.startUnclearAt.Before(report.SentAt):
			s.stopAttempt(attempt) // from then on a start that comes late is rejected
		}
	}
}

// handleCompletion takes one entry of a worker's list of ends.
func (s *Scheduler) handleCompletion(now Now, worker *workerState, completion *workerclient.FinishedTask) {
	if completion.Number <= worker.lastCompletion {
		return
	}
	worker.lastCompletion = completion.Number
	s.acknowledgeCompletions(worker)
	attempt := worker.attempts[completion.Task]
	if attempt != nil && attempt.number != completion.Execution {
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
		s.retry(now, task, completion.Execution) // started again however it ends
	case completion.How == job.OutcomeDone && (attempt != nil || len(task.attempts) == 0 || task.stage.AtLeastOnce):
		s.handleSuccess(now, task)
	case completion.How == job.OutcomeFailed:
		s.handleFailure(now, task, worker, completion.Execution)
	case attempt != nil:
		s.retry(now, task, completion.Execution)
	}
}

func (s *Scheduler) acknowledgeCompletions(worker *workerState) {
	for i := range s.effects.Acknowledgements {
		if s.effects.Acknowledgements[i].Worker == worker.ID {
			s.effects.Acknowledgements[i].CompletionNumber = worker.lastCompletion
			return
		}
	}
	s.effects.Acknowledgements = append(s.effects.Acknowledgements, Acknowledgement{Worker: worker.ID, CompletionNumber: worker.lastCompletion})
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

func (s *Scheduler) handleSuccess(now Now, task *taskState) {
	if !task.stage.GangScheduled {
		s.completeTask(now, task)
		return
	}
	for _, member := range task.stage.tasks { // one such end counts for all members
		s.completeTask(now, member)
	}
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

// abandonGangAttempt notes that one run of a gang is given up. Its members end by themselves; inspectAttempts stops those that do not.
func (s *Scheduler) abandonGangAttempt(now Now, stage *stageState, number uint64) {
	if number <= stage.abandonedAttempt {
		return
	}
	stage.abandonedAttempt = number
	stage.abandonedAt = now.Monotonic
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

// HandleStartResult takes what became of a start.
func (s *Scheduler) HandleStartResult(now Now, result *workerclient.StartResult) {
	worker := s.workers[result.Worker]
	if worker == nil {
		return
	}
	attempt := worker.attempts[result.Order.Task]
	if attempt == nil || attempt.number != result.Order.Execution {
		return
	}
	switch result.Outcome {
	case workerclient.Started:
		attempt.confirmedAt = result.At
		worker.window = min(maxWindow, worker.window+1)
		return
	case workerclient.Unclear:
		attempt.startUnclearAt = result.At
		return
	case workerclient.RejectedFence:
		return // this leadership is over
	case workerclient.RejectedRoom:
		worker.fullUntil = now.Monotonic.Add(backoffAfterFull)
	case workerclient.Unhealthy:
		worker.backoffUntil = now.Monotonic.Add(backoffAfterUnhealthy)
		worker.failureRate += failureWeight * (1 - worker.failureRate)
	case workerclient.RejectedInvalid:
		attempt.task.avoidWorker(worker)
	}
	attempt.task.backoffUntil = now.Monotonic.Add(backoffAfterFailedStart)
	s.endAttempt(now, attempt)
	s.dispatchNeeded = true
}

// HandleStopResult takes that a stop was answered: the run has ended or is ending, or will never begin.
func (s *Scheduler) HandleStopResult(now Now, result *workerclient.StopResult) {
	worker := s.workers[result.Worker]
	if worker == nil || !result.Answered {
		return
	}
	if attempt := worker.attempts[result.Order.Task]; attempt != nil && attempt.number == result.Order.Execution {
		attempt.stopConfirmedAt = result.At
	}
}

// SetReachable takes whether a worker answers.
func (s *Scheduler) SetReachable(now Now, id workerclient.WorkerID, reachable bool) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	worker.reachable = reachable
	if !reachable {
		for _, attempt := range worker.sortedAttempts() {
			s.releaseTask(now, attempt)
		}
		s.rebindTasks(now, worker)
	}
	s.dispatchNeeded = true
}

// releaseTask lets the task of an unreachable run start elsewhere at once, where copies may run side by side.
func (s *Scheduler) releaseTask(now Now, attempt *attemptState) {
	if !attempt.task.stage.AtLeastOnce || attempt.released || attempt.stopping || attempt.task.done || attempt.task.stage.GangScheduled {
		return
	}
	attempt.released = true
	s.retry(now, attempt.task, attempt.number)
}

// RemoveWorker takes that a worker's life is over: nothing runs there any more.
func (s *Scheduler) RemoveWorker(now Now, id workerclient.WorkerID) {
	worker := s.workers[id]
	if worker == nil {
		return
	}
	s.endAllAttempts(now, worker)
	s.removed[id] = true
	s.forgetLatency(worker)
	delete(s.workers, id)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == worker })
	worker.reachable = false
	s.rebindTasks(now, worker)
	s.dispatchNeeded = true
}

// ExpireLease takes that everything granted to an unreachable worker under this leadership has run out.
func (s *Scheduler) ExpireLease(now Now, id workerclient.WorkerID) {
	worker := s.workers[id]
	if worker == nil || worker.reachable || now.Monotonic.Before(s.inheritedLeaseEnd(worker)) {
		return
	}
	if len(worker.attempts) > 0 {
		s.endAllAttempts(now, worker)
		s.dispatchNeeded = true
	}
}

// inheritedLeaseEnd is when everything that earlier leaderships granted to a worker has run out.
func (s *Scheduler) inheritedLeaseEnd(worker *workerState) time.Time {
	lease := s.settings.MaxLease + s.settings.MaxLease/20 // its clock may run 2% slow
	if !worker.fencedAt.IsZero() {
		return worker.fencedAt.Add(lease)
	}
	return s.startedAt.Add(LateCommandWindow + lease)
}

// endAllAttempts ends all runs at a worker.
func (s *Scheduler) endAllAttempts(now Now, worker *workerState) {
	for _, attempt := range worker.sortedAttempts() {
		s.endAttempt(now, attempt)
	}
	worker.orphans = nil
}

// sortedAttempts lists the runs in a stable order, so that the same events give the same effects.
func (worker *workerState) sortedAttempts() []*attemptState {
	attempts := make([]*attemptState, 0, len(worker.attempts))
	for _, attempt := range worker.attempts {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *attemptState) int { return compareTaskIDs(a.task.id, b.task.id) })
	return attempts
}
