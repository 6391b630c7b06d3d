package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	initialWindow        = 4.0   // attempt window of a new worker: the number of unproven attempts that it may have at a time
	maxWindow            = 256.0 // above this, only the worker's capacity limits its attempts
	minWindow            = 1.0
	proofTime            = time.Second // an attempt that its worker lists this long after the assignment is proven
	latencyWeight        = 0.2         // weight of a new duration in a worker's smoothed latency
	failureWeight        = 0.25        // weight of a new completion in a worker's failure rate
	normalDurationFactor = 3.0         // a success widens the window if it took at most this multiple of the expected duration

	minStallTimeout      = 800 * time.Millisecond // shortest time without progress after which an attempt counts as stalled
	gangStartAllowance   = 2 * time.Second        // added for a gang without progress, as its other members may not have started
	stallTimeoutFraction = 0.24                   // fraction of the expected duration, used as the timeout if it exceeds minStallTimeout
	backoffAfterStall    = 4 * time.Second        // time without starts on a worker after an attempt stalled there
)

// recordOutcome updates a worker's attempt window, smoothed latency and failure rate with the outcome of an attempt. The
// window grows by one after a success of normal duration. It is halved after a failure, unless the task itself may have
// caused the failure.
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
		if durationMS <= normalDurationFactor*s.expectedDurationMS(attempt.task.stage, worker) {
			worker.window = min(maxWindow, worker.window+1)
		}
	case job.OutcomeFailed:
		if len(attempt.task.failedAttempts) > 0 || attempt.stopping {
			return // the task has failed before or was being stopped, so the worker may not be the cause
		}
		worker.failureRate += failureWeight * (1 - worker.failureRate)
		worker.window = max(minWindow, worker.window/2)
	}
}

// recordLatency updates a worker's smoothed latency with the duration of an attempt in milliseconds.
func (s *Scheduler) recordLatency(worker *workerState, durationMS float64) {
	if worker.latencyMS == 0 {
		worker.latencyMS = max(1, durationMS)
		s.latencyCount++
		s.latencySumMS += worker.latencyMS
		return
	}
	deltaMS := latencyWeight * (durationMS - worker.latencyMS)
	worker.latencyMS += deltaMS
	s.latencySumMS += deltaMS
}

// clearLatency discards a worker's smoothed latency and removes it from the sum over all workers.
func (s *Scheduler) clearLatency(worker *workerState) {
	if worker.latencyMS > 0 {
		s.latencyCount--
		s.latencySumMS -= worker.latencyMS
		worker.latencyMS = 0
	}
}

// remainingMS estimates the remaining duration of an attempt in milliseconds. It extrapolates from the attempt's progress, or
// uses the client's estimate if no progress is known. It also uses the estimate for an inherited attempt, whose start is not known.
func (s *Scheduler) remainingMS(now Now, attempt *attemptState) float64 {
	expectedMS := s.expectedDurationMS(attempt.task.stage, attempt.worker)
	elapsedMS := float64(now.Monotonic.Sub(attempt.assignedAt).Milliseconds())
	remainingPercent := float64(100 - attempt.percent)
	switch {
	case attempt.percent == 0 || attempt.percent >= 100:
		return max(0, expectedMS-elapsedMS)
	case attempt.inherited:
		return expectedMS * remainingPercent / 100
	}
	return elapsedMS * remainingPercent / float64(attempt.percent)
}

// inspectAttempts stops attempts that have stalled, that should migrate off a slow worker, or that belong to an abandoned gang
// attempt. It also ends the attempts of unreachable workers whose fencing token this leadership has not raised, once the
// leases that earlier leaderships granted to them have expired.
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

// inspectAttempt stops an attempt if one of the reasons listed at inspectAttempts applies, or if its job has ended.
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

// isStalled reports whether an attempt has made no progress for the stall timeout, according to its worker's reports.
func (s *Scheduler) isStalled(attempt *attemptState) bool {
	stage := attempt.task.stage
	if !attempt.reported || attempt.progressedAt.IsZero() || stage.LongRunning || attempt.task.done {
		return false
	}
	timeout := max(minStallTimeout, time.Duration(stallTimeoutFraction*s.expectedDurationMS(stage, attempt.worker))*time.Millisecond)
	if stage.GangScheduled && attempt.percent == 0 {
		timeout += gangStartAllowance // a gang begins its work once all members have started
	}
	return attempt.reportedAt.Sub(attempt.progressedAt) > timeout
}
