package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// SetReachable takes whether a worker answers. The tasks of one that does not wait for others; its attempts go on until it
// is certain that they have ended.
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

// releaseTask lets the task of an unreachable attempt start elsewhere at once, if its stage allows copies side by side.
func (s *Scheduler) releaseTask(now Now, attempt *attemptState) {
	if !attempt.task.stage.AtLeastOnce || attempt.taskReleased || attempt.stopping || attempt.task.done || attempt.task.stage.GangScheduled {
		return
	}
	attempt.taskReleased = true
	s.retry(now, attempt.task, attempt.number)
}

// ExpireLease takes that all leases granted to an unreachable worker under this leadership have expired. Its attempts end
// with them, once those of earlier leaderships have expired too.
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

// inheritedLeaseEnd is when all leases that earlier leaderships granted to a worker have expired. Before its fencing token
// was raised, a command of an earlier leader may still arrive and extend them.
func (s *Scheduler) inheritedLeaseEnd(worker *workerState) time.Time {
	lease := s.settings.MaxLease + s.settings.MaxLease/20 // its clock may run 2% slow
	if !worker.fencedAt.IsZero() {
		return worker.fencedAt.Add(lease)
	}
	return s.startedAt.Add(LateCommandWindow + lease)
}

// endAllAttempts ends all attempts at a worker.
func (s *Scheduler) endAllAttempts(now Now, worker *workerState) {
	for _, attempt := range worker.sortedAttempts() {
		s.endAttempt(now, attempt)
	}
	worker.orphans = nil
}
