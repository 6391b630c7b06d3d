package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// SetReachable records whether a worker responds. If it does not, the waiting tasks bound to it are bound to other workers.
// Its attempts count as running until it is certain that they have ended.
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
		s.rebindTasks(worker)
	}
	s.dispatchNeeded = true
}

// releaseTask queues the task of an attempt on an unreachable worker for another attempt at once, if its stage has
// at-least-once semantics. In such a stage, two attempts of a task may run at the same time.
func (s *Scheduler) releaseTask(now Now, attempt *attemptState) {
	if !attempt.task.stage.AtLeastOnce || attempt.taskReleased || attempt.stopping || attempt.task.done || attempt.task.stage.GangScheduled {
		return
	}
	attempt.taskReleased = true
	s.retry(now, attempt.task, attempt.number)
}

// ExpireLease records that all leases granted to an unreachable worker under this leadership have expired. It ends the
// worker's attempts, unless leases granted by earlier leaderships may still be valid.
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

// inheritedLeaseEnd returns the time by which all leases that earlier leaderships granted to a worker have expired. Until the
// worker's fencing token is raised, a delayed command of an earlier leader may still reach it and extend its lease.
func (s *Scheduler) inheritedLeaseEnd(worker *workerState) time.Time {
	lease := s.settings.MaxLease + s.settings.MaxLease/20 // allows for a worker's clock that runs 2% slow
	if !worker.fencedAt.IsZero() {
		return worker.fencedAt.Add(lease)
	}
	return s.startedAt.Add(LateCommandWindow + lease)
}

// endAllAttempts ends all attempts on a worker and discards its orphans.
func (s *Scheduler) endAllAttempts(now Now, worker *workerState) {
	for _, attempt := range worker.sortedAttempts() {
		s.endAttempt(now, attempt)
	}
	worker.orphans = nil
}
