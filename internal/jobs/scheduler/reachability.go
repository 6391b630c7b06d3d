package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

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
