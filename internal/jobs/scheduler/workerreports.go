package scheduler

import (
	"cmp"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// HandleReport takes a worker's report of the attempts that run there and of those that have completed.
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
	worker.fullUntil = time.Time{}
	for i := range report.Finished {
		s.handleCompletion(now, worker, &report.Finished[i])
	}
	if !report.Stale { // a newer report has listed what runs there
		listed := s.matchRunning(now, worker, report)
		if !report.Partial {
			s.handleMissing(now, worker, report, listed)
		}
	}
	s.dispatchNeeded = true
}

// matchRunning matches the reported attempts with ours, and returns the tasks of those that match. The others are orphans,
// which are stopped.
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
		if attempt != nil && attempt.number == entry.AttemptNumber {
			listed[entry.Task] = true
			s.recordProgress(now, attempt, entry)
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

// recordProgress takes what a report says of one of our attempts.
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
	s.observePace(attempt)
}

// handleMissing handles the attempts of ours that a complete report does not list. One that was certainly there, or whose
// stop was answered, before the report was requested has ended. One whose start got no answer may still begin: it is
// stopped, after which the worker rejects that start.
func (s *Scheduler) handleMissing(now Now, worker *workerState, report *workerclient.Listing, listed map[job.TaskID]bool) {
	if len(worker.attempts) == len(listed) {
		return // each listed task is one of ours
	}
	for _, attempt := range worker.sortedAttempts() {
		if listed[attempt.task.id] {
			continue
		}
		started := !attempt.confirmedAt.IsZero() && attempt.confirmedAt.Before(report.SentAt)
		stopped := !attempt.stopConfirmedAt.IsZero() && attempt.stopConfirmedAt.Before(report.SentAt)
		switch {
		case attempt.inherited, started, stopped:
			s.endAttempt(now, attempt)
		case !attempt.startUnansweredAt.IsZero() && attempt.startUnansweredAt.Before(report.SentAt):
			s.stopAttempt(attempt) // from then on a start that arrives late is rejected
		}
	}
}

// sortedAttempts lists a worker's attempts by task, so that the same events give the same effects.
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
