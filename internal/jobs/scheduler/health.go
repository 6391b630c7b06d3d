package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	initialWindow        = 4.0   // attempts that one worker may have at first
	maxWindow            = 256.0 // above, its capacity is the bound
	minWindow            = 1.0
	latencyWeight        = 0.2  // weight of a new duration in a worker's smoothed latency
	failureWeight        = 0.25 // weight of a new completion in a worker's failure rate
	normalDurationFactor = 3.0  // times the expected duration: a completion within widens the window

	minStallTime       = 800 * time.Millisecond // an attempt without progress for so long may have stalled
	gangStallAllowance = 2 * time.Second        // more while a gang's members may not all have begun
	stallShare         = 0.24                   // and for this share of its expected duration, if that is longer
	backoffAfterStall  = 4 * time.Second        // no starts at a worker on which an attempt has stalled
)

// recordOutcome takes an attempt's outcome into its worker's window, latency and failure rate. The window grows by one
// with each usual success and halves with a failure that is not the task's own.
func (s *Scheduler) recordOutcome(now Now, attempt *attemptState, outcome job.Outcome) {
	worker := attempt.worker
	switch outcome {
	case job.OutcomeDone:
		durationMS := float64(now.Monotonic.Sub(attempt.assignedAt).Milliseconds())
		if attempt.inherited {
			return
		}
		s.recordLatency(worker, durationMS)
		worker.failureRate -= failureWeight * worker.failureRate
		if durationMS <= normalDurationFactor*s.expectedMS(attempt.task.stage, worker) {
			worker.window = min(maxWindow, worker.window+1)
		}
	case job.OutcomeFailed:
		if len(attempt.task.failedAttempts) > 0 || attempt.stopping {
			return // the task itself may be the cause
		}
		worker.failureRate += failureWeight * (1 - worker.failureRate)
		worker.window = max(minWindow, worker.window/2)
	}
}

// recordLatency takes a duration in milliseconds into a worker's smoothed latency.
func (s *Scheduler) recordLatency(worker *workerState, durationMS float64) {
	if worker.latencyMS == 0 {
		worker.latencyMS = max(1, durationMS)
		s.latencyCount++
		s.latencySumMS += worker.latencyMS
		return
	}
	change := latencyWeight * (durationMS - worker.latencyMS)
	worker.latencyMS += change
	s.latencySumMS += change
}

// forgetLatency forgets a worker's latency.
func (s *Scheduler) forgetLatency(worker *workerState) {
	if worker.latencyMS > 0 {
		s.latencyCount--
		s.latencySumMS -= worker.latencyMS
		worker.latencyMS = 0
	}
}

// remainingMS estimates how long an attempt still takes, in milliseconds: from its progress, or else from the client's
// estimate.
func (s *Scheduler) remainingMS(now Now, attempt *attemptState) float64 {
	expected := s.expectedMS(attempt.task.stage, attempt.worker)
	elapsed := float64(now.Monotonic.Sub(attempt.assignedAt).Milliseconds())
	if attempt.percent > 0 && attempt.percent < 100 {
		return elapsed * float64(100-attempt.percent) / float64(attempt.percent)
	}
	return max(0, expected-elapsed)
}

// inspectAttempts stops attempts that stalled or are to move off a slow worker, and members of gang attempts that were
// abandoned.
func (s *Scheduler) inspectAttempts(now Now) {
	s.updatePaceRatios()
	for _, worker := range s.sortedWorkers {
		if len(worker.attempts) > 0 {
			for _, attempt := range worker.sortedAttempts() {
				s.inspectAttempt(now, attempt)
			}
		}
		if !worker.reachable && worker.fencedAt.IsZero() {
			s.ExpireLease(now, worker.ID)
		}
	}
}

func (s *Scheduler) inspectAttempt(now Now, attempt *attemptState) {
	stage := attempt.task.stage
	if attempt.stopping {
		return
	}
	if stage.job.ended && !stage.GangScheduled {
		s.stopAttempt(attempt)
		return
	}
	if stage.GangScheduled && attempt.number <= stage.abandonedAttempt && now.Monotonic.Sub(stage.abandonedAt) > gangStopDelay {
		s.stopAttempt(attempt)
		return
	}
	if s.shouldMigrate(attempt) {
		attempt.task.migrations++
		attempt.task.avoidWorker(attempt.worker)
		s.stopAttempt(attempt)
		return
	}
	if s.isStalled(attempt) {
		attempt.worker.backoffUntil = now.Monotonic.Add(backoffAfterStall)
		attempt.worker.window = max(minWindow, attempt.worker.window/2)
		s.stopAttempt(attempt)
	}
}

// isStalled tells whether an attempt makes no progress, by its worker's reports.
func (s *Scheduler) isStalled(attempt *attemptState) bool {
	stage := attempt.task.stage
	if !attempt.reported || attempt.progressedAt.IsZero() || stage.LongRunning || attempt.task.done {
		return false
	}
	allowed := max(minStallTime, time.Duration(stallShare*s.expectedMS(stage, attempt.worker))*time.Millisecond)
	if stage.GangScheduled && attempt.percent == 0 {
		allowed += gangStallAllowance // it begins once all members are there
	}
	return attempt.reportedAt.Sub(attempt.progressedAt) > allowed
}
