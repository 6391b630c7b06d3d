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
	sr := s.workers[report.Worker]
	if sr == nil {
		return
	}
	if sr.fencedAt.IsZero() || !sr.reachable {
		sr.reachable = true
		s.bindUnboundTasks(now)
	}
	if sr.fencedAt.IsZero() {
		sr.fencedAt = now.Monotonic
	}
	sr.fullUntil = time.Time{}
	for i := range report.Finished {
		s.handleCompletion(now, sr, &report.Finished[i])
	}
	if !report.Stale { // a newer report has said what runs there
		listed := s.matchRunning(now, sr, report)
		if !report.Partial {
			s.handleMissing(now, sr, report, listed)
		}
	}
	s.dispatchNeeded = true
}

// matchRunning matches the running list with our runs and stops what nobody wants.
func (s *Scheduler) matchRunning(now Now, sr *workerState, report *workerclient.Listing) map[job.TaskID]bool {
	if len(report.Running) == 0 {
		sr.orphans = nil
		return nil
	}
	listed := make(map[job.TaskID]bool, len(report.Running))
	var orphans map[orphanAttempt]bool
	for i := range report.Running {
		entry := &report.Running[i]
		r := sr.attempts[entry.Task]
		if r != nil && r.number == entry.Execution {
			listed[entry.Task] = true
			s.recordProgress(now, r, entry)
			continue
		}
		key := orphanAttempt{entry.Task, entry.Execution}
		if orphans == nil {
			orphans = map[orphanAttempt]bool{}
		}
		orphans[key] = true
		if !sr.orphans[key] {
			order := &workerclient.StopOrder{Task: entry.Task, Execution: entry.Execution}
			s.effects.Commands = append(s.effects.Commands, Command{Worker: sr.ID, Stop: order})
		}
	}
	sr.orphans = orphans
	return listed
}

func (s *Scheduler) recordProgress(now Now, r *attemptState, entry *workerclient.RunningTask) {
	if !r.reported {
		r.reported = true
		r.paceSince, r.pacePercent = now.Monotonic, entry.Percent
	}
	r.reportedAt = now.Monotonic
	if entry.Percent > r.percent || r.progressedAt.IsZero() {
		r.percent = entry.Percent
		r.progressedAt = now.Monotonic
	}
	if entry.Checkpoint != "" {
		r.checkpoint = entry.Checkpoint
	}
	s.observePace(now, r)
}

// handleMissing settles the runs that a report should have listed and did not.
func (s *Scheduler) handleMissing(now Now, sr *workerState, report *workerclient.Listing, listed map[job.TaskID]bool) {
	if len(sr.attempts) == len(listed) {
		return // each one of listed is one of ours
	}
	for _, r := range sr.sortedAttempts() {
		if listed[r.task.id] {
			continue
		}
		answered := !r.confirmedAt.IsZero() && r.confirmedAt.Before(report.SentAt)
		stopped := !r.stopConfirmedAt.IsZero() && r.stopConfirmedAt.Before(report.SentAt)
		switch {
		case r.inherited, answered, stopped:
			s.endAttempt(now, r)
		case !r.startUnclearAt.IsZero() && r.startUnclearAt.Before(report.SentAt):
			s.stopAttempt(r) // from then on a start that comes late is rejected
		}
	}
}

// handleCompletion takes one entry of a worker's list of ends.
func (s *Scheduler) handleCompletion(now Now, sr *workerState, end *workerclient.FinishedTask) {
	if end.Number <= sr.lastCompletion {
		return
	}
	sr.lastCompletion = end.Number
	s.acknowledgeCompletions(sr)
	r := sr.attempts[end.Task]
	if r != nil && r.number != end.Execution {
		r = nil
	}
	if r != nil {
		s.recordOutcome(now, r, end.How)
		s.removeAttempt(r)
	}
	t := s.findTask(end.Task)
	if t == nil || t.done {
		return
	}
	if end.Checkpoint != "" {
		t.recordCheckpoint(end.Checkpoint)
	}
	switch {
	case t.stage.LongRunning:
		s.retry(now, t, end.Execution) // started again however it ends
	case end.How == job.OutcomeDone && (r != nil || len(t.attempts) == 0 || t.stage.AtLeastOnce):
		s.handleSuccess(now, t)
	case end.How == job.OutcomeFailed:
		s.handleFailure(now, t, sr, end.Execution)
	case r != nil:
		s.retry(now, t, end.Execution)
	}
}

func (s *Scheduler) acknowledgeCompletions(sr *workerState) {
	for i := range s.effects.Acknowledgements {
		if s.effects.Acknowledgements[i].Worker == sr.ID {
			s.effects.Acknowledgements[i].CompletionNumber = sr.lastCompletion
			return
		}
	}
	s.effects.Acknowledgements = append(s.effects.Acknowledgements, Acknowledgement{Worker: sr.ID, CompletionNumber: sr.lastCompletion})
}

// recordCheckpoint notes the newest checkpoint, for the whole gang if the task is a member of one.
func (t *taskState) recordCheckpoint(checkpoint string) {
	if !t.stage.Checkpoints {
		return
	}
	if !t.stage.GangScheduled {
		t.checkpoint = checkpoint
		return
	}
	for _, member := range t.stage.tasks {
		member.checkpoint = checkpoint
	}
}

func (s *Scheduler) handleSuccess(now Now, t *taskState) {
	if !t.stage.GangScheduled {
		s.completeTask(now, t)
		return
	}
	for _, member := range t.stage.tasks { // one such end counts for all members
		s.completeTask(now, member)
	}
}

// handleFailure counts a run that ended failed; the job fails with the last attempt.
func (s *Scheduler) handleFailure(now Now, t *taskState, sr *workerState, execution uint64) {
	counter := t
	if t.stage.GangScheduled {
		counter = t.stage.tasks[0]
	}
	if !slices.Contains(counter.failedAttempts, execution) {
		counter.failedAttempts = append(counter.failedAttempts, execution)
	}
	if !t.stage.LongRunning && len(counter.failedAttempts) >= max(1, t.stage.job.Queue.MaxAttempts) {
		s.endJob(now, t.stage.job, job.Failed)
		return
	}
	if counter != t {
		s.writeTaskRecord(counter)
	}
	t.avoidWorker(sr)
	s.retry(now, t, execution)
}

// avoidWorker lets a task start elsewhere rather than where it has just failed.
func (t *taskState) avoidWorker(sr *workerState) {
	t.avoidedWorkers = append(t.avoidedWorkers, sr.ID)
	if len(t.avoidedWorkers) > maxAvoidedWorkers {
		t.avoidedWorkers = t.avoidedWorkers[1:]
	}
}

// retry lets a task wait for another run once no run of it is under way.
func (s *Scheduler) retry(now Now, t *taskState, execution uint64) {
	if t.done || t.stage.job.ended {
		return
	}
	s.writeTaskRecord(t)
	if t.stage.GangScheduled {
		s.abandonGangAttempt(now, t.stage, execution)
	}
	for _, r := range t.attempts {
		if !r.released {
			return
		}
	}
	s.enqueueAndBind(now, t)
}

// abandonGangAttempt notes that one run of a gang is given up. Its members end by themselves; inspectAttempts stops those that do not.
func (s *Scheduler) abandonGangAttempt(now Now, stage *stageState, execution uint64) {
	if execution <= stage.abandonedAttempt {
		return
	}
	stage.abandonedAttempt = execution
	stage.abandonedAt = now.Monotonic
}

// over ends a run that is certainly not under way any more, without an end listed.
func (s *Scheduler) endAttempt(now Now, r *attemptState) {
	t := r.task
	s.removeAttempt(r)
	if t.done || t.stage.job.ended {
		return
	}
	if r.checkpoint != "" {
		t.recordCheckpoint(r.checkpoint)
	}
	s.retry(now, t, r.number)
}

// removeAttempt forgets a run.
func (s *Scheduler) removeAttempt(r *attemptState) {
	sr := r.worker
	if sr.attempts[r.task.id] != r {
		return
	}
	delete(sr.attempts, r.task.id)
	sr.used = sr.used.Subtract(r.task.stage.Resources)
	r.task.attempts = slices.DeleteFunc(r.task.attempts, func(other *attemptState) bool { return other == r })
	s.orderStale = true
}

// HandleStartResult takes what became of a start.
func (s *Scheduler) HandleStartResult(now Now, result *workerclient.StartResult) {
	sr := s.workers[result.Worker]
	if sr == nil {
		return
	}
	r := sr.attempts[result.Order.Task]
	if r == nil || r.number != result.Order.Execution {
		return
	}
	switch result.Outcome {
	case workerclient.Started:
		r.confirmedAt = result.At
		sr.window = min(maxWindow, sr.window+1)
		return
	case workerclient.Unclear:
		r.startUnclearAt = result.At
		return
	case workerclient.RejectedFence:
		return // this leadership is over
	case workerclient.RejectedRoom:
		sr.fullUntil = now.Monotonic.Add(backoffAfterFull)
	case workerclient.Unhealthy:
		sr.backoffUntil = now.Monotonic.Add(backoffAfterUnhealthy)
		sr.failureRate += failureWeight * (1 - sr.failureRate)
	case workerclient.RejectedInvalid:
		r.task.avoidWorker(sr)
	}
	r.task.backoffUntil = now.Monotonic.Add(backoffAfterFailedStart)
	s.endAttempt(now, r)
	s.dispatchNeeded = true
}

// HandleStopResult takes that a stop was answered: the run has ended or is ending, or will never begin.
func (s *Scheduler) HandleStopResult(now Now, result *workerclient.StopResult) {
	sr := s.workers[result.Worker]
	if sr == nil || !result.Answered {
		return
	}
	if r := sr.attempts[result.Order.Task]; r != nil && r.number == result.Order.Execution {
		r.stopConfirmedAt = result.At
	}
}

// SetReachable takes whether a worker answers.
func (s *Scheduler) SetReachable(now Now, id workerclient.WorkerID, reachable bool) {
	sr := s.workers[id]
	if sr == nil {
		return
	}
	sr.reachable = reachable
	if !reachable {
		for _, r := range sr.sortedAttempts() {
			s.releaseTask(now, r)
		}
		s.rebindTasks(now, sr)
	}
	s.dispatchNeeded = true
}

// releaseTask lets the task of an unreachable run start elsewhere at once, where copies may run side by side.
func (s *Scheduler) releaseTask(now Now, r *attemptState) {
	if !r.task.stage.AtLeastOnce || r.released || r.stopping || r.task.done || r.task.stage.GangScheduled {
		return
	}
	r.released = true
	s.retry(now, r.task, r.number)
}

// RemoveWorker takes that a worker's life is over: nothing runs there any more.
func (s *Scheduler) RemoveWorker(now Now, id workerclient.WorkerID) {
	sr := s.workers[id]
	if sr == nil {
		return
	}
	s.endAllAttempts(now, sr)
	s.removed[id] = true
	s.forgetLatency(sr)
	delete(s.workers, id)
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(other *workerState) bool { return other == sr })
	sr.reachable = false
	s.rebindTasks(now, sr)
	s.dispatchNeeded = true
}

// ExpireLease takes that everything granted to an unreachable worker under this leadership has run out.
func (s *Scheduler) ExpireLease(now Now, id workerclient.WorkerID) {
	sr := s.workers[id]
	if sr == nil || sr.reachable || now.Monotonic.Before(s.inheritedLeaseEnd(sr)) {
		return
	}
	if len(sr.attempts) > 0 {
		s.endAllAttempts(now, sr)
		s.dispatchNeeded = true
	}
}

// inheritedLeaseEnd is when everything that earlier leaderships granted to a worker has run out.
func (s *Scheduler) inheritedLeaseEnd(sr *workerState) time.Time {
	hold := s.settings.MaxLease + s.settings.MaxLease/20 // its clock may run 2% slow
	if !sr.fencedAt.IsZero() {
		return sr.fencedAt.Add(hold)
	}
	return s.startedAt.Add(LateCommandWindow + hold)
}

// endAllAttempts ends all runs at a worker.
func (s *Scheduler) endAllAttempts(now Now, sr *workerState) {
	for _, r := range sr.sortedAttempts() {
		s.endAttempt(now, r)
	}
	sr.orphans = nil
}

// sortedAttempts lists the runs in a stable order, so that the same events give the same effects.
func (sr *workerState) sortedAttempts() []*attemptState {
	runs := make([]*attemptState, 0, len(sr.attempts))
	for _, r := range sr.attempts {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *attemptState) int { return compareTaskIDs(a.task.id, b.task.id) })
	return runs
}
