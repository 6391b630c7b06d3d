package scheduler

import (
	"cmp"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// HandleReport processes a worker's report, which lists its running attempts and the completions that have not been
// acknowledged.
func (s *Scheduler) HandleReport(now Now, report *workerclient.Listing) {
	worker := s.workers[report.Worker]
	if worker == nil {
		return
	}
	if worker.fencedAt.IsZero() || !worker.reachable {
		worker.reachable = true
		s.bindUnboundTasks()
	}
	if worker.fencedAt.IsZero() {
		worker.fencedAt = now.Monotonic
	}
	worker.capacityBackoffUntil = time.Time{}
	for i := range report.Finished {
		s.handleCompletion(now, worker, &report.Finished[i])
	}
	if !report.Stale { // a newer report has already listed the running attempts
		listed := s.matchRunningAttempts(now, worker, report)
		if !report.Partial {
			s.handleMissingAttempts(now, worker, report, listed)
		}
	}
	s.dispatchNeeded = true
}

// matchRunningAttempts matches the reported attempts with those of the scheduler, and returns the tasks of the matching ones.
// The other reported attempts are orphans, which it stops. It issues stop commands again that were dropped.
func (s *Scheduler) matchRunningAttempts(now Now, worker *workerState, report *workerclient.Listing) map[job.TaskID]bool {
	if len(report.Running) == 0 {
		worker.orphans = nil
		return nil
	}
	listed := make(map[job.TaskID]bool, len(report.Running))
	var orphans map[orphanAttempt]bool
	for i := range report.Running {
		entry := &report.Running[i]
		attempt := worker.attempts[entry.Task]
		if attempt != nil && attempt.number == entry.AttemptNumber {
			listed[entry.Task] = true
			s.recordProgress(now, attempt, entry)
			if attempt.stopDropped {
				s.stopAttempt(attempt)
			}
			continue
		}
		key := orphanAttempt{entry.Task, entry.AttemptNumber}
		if orphans == nil {
			orphans = map[orphanAttempt]bool{}
		}
		orphans[key] = true
		if !worker.orphans[key] {
			s.addStopCommand(worker, entry.Task, entry.AttemptNumber)
		}
	}
	worker.orphans = orphans
	return listed
}

// recordProgress updates an attempt's progress, pace and checkpoint from a report. It marks the attempt as proven if the worker
// has run it for proofTime. An inherited attempt is proven at once, as it has run since an earlier leadership.
func (s *Scheduler) recordProgress(now Now, attempt *attemptState, entry *workerclient.RunningTask) {
	if !attempt.reported {
		attempt.reported = true
		attempt.firstReportedAt, attempt.firstReportedPercent = now.Monotonic, entry.Percent
	}
	attempt.reportedAt = now.Monotonic
	if entry.Percent > attempt.percent || attempt.progressedAt.IsZero() {
		attempt.percent = entry.Percent
		attempt.progressedAt = now.Monotonic
	}
	if entry.Checkpoint != "" {
		attempt.checkpoint = entry.Checkpoint
	}
	if attempt.inherited || now.Monotonic.Sub(attempt.assignedAt) >= proofTime {
		attempt.markProven()
	}
	s.observePace(attempt)
}

// handleMissingAttempts processes the attempts that a complete report does not list. An attempt has ended if its start or its
// stop was confirmed before the report was requested, or if it was inherited from an earlier leadership. An attempt whose
// start got no response may still begin, so it is stopped. After the stop the worker rejects that start.
func (s *Scheduler) handleMissingAttempts(now Now, worker *workerState, report *workerclient.Listing, listed map[job.TaskID]bool) {
	if len(worker.attempts) == len(listed) {
		return // every attempt of the worker is listed, as listed contains only known tasks
	}
	for _, attempt := range worker.sortedAttempts() {
		if listed[attempt.task.id] {
			continue
		}
		startConfirmed := !attempt.confirmedAt.IsZero() && attempt.confirmedAt.Before(report.SentAt)
		stopConfirmed := !attempt.stopConfirmedAt.IsZero() && attempt.stopConfirmedAt.Before(report.SentAt)
		switch {
		case attempt.inherited, startConfirmed, stopConfirmed:
			s.endAttempt(now, attempt)
		case !attempt.startUnansweredAt.IsZero() && attempt.startUnansweredAt.Before(report.SentAt):
			s.stopAttempt(attempt) // once stopped, the worker rejects a start that arrives late
		}
	}
}

// sortedAttempts returns a worker's attempts sorted by task, so that the same events always have the same effects.
func (worker *workerState) sortedAttempts() []*attemptState {
	attempts := make([]*attemptState, 0, len(worker.attempts))
	for _, attempt := range worker.attempts {
		attempts = append(attempts, attempt)
	}
	slices.SortFunc(attempts, func(a, b *attemptState) int { return compareTaskIDs(a.task.id, b.task.id) })
	return attempts
}

func compareTaskIDs(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Repetition, b.Repetition), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Index, b.Index))
}
