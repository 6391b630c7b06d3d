package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/job"
)

const (
	initialWindow        = 4.0   // runs that one worker may have at first
	maxWindow            = 256.0 // its capacity is what bounds it then
	minWindow            = 1.0
	latencyWeight        = 0.2  // weight of a new duration in a worker's smoothed latency
	failureWeight        = 0.25 // weight of a new end in a worker's share of faults
	normalDurationFactor = 3.0  // times the expected duration: an end within widens the window

	minStallTime       = 800 * time.Millisecond // a run that makes no progress for so long may have stalled
	gangStallAllowance = 2 * time.Second        // more where the run may not have begun
	stallShare         = 0.24                   // and for this share of its expected duration
	backoffAfterStall  = 4 * time.Second        // no starts at a worker on which a run has stalled
)

// recordOutcome takes a run's end into its worker's window, latency and share of faults.
func (s *Scheduler) recordOutcome(now Now, r *attemptState, how job.Outcome) {
	sr := r.worker
	switch how {
	case job.OutcomeDone:
		took := float64(now.Monotonic.Sub(r.assignedAt).Milliseconds())
		if r.inherited {
			return
		}
		s.recordLatency(sr, took)
		sr.failureRate -= failureWeight * sr.failureRate
		if took <= normalDurationFactor*s.expectedMS(r.task.stage, sr) {
			sr.window = min(maxWindow, sr.window+1)
		}
	case job.OutcomeFailed:
		if len(r.task.failedAttempts) > 0 || r.stopping {
			return // the task itself may be at fault
		}
		sr.failureRate += failureWeight * (1 - sr.failureRate)
		sr.window = max(minWindow, sr.window/2)
	}
}

// recordLatency takes a duration in milliseconds into a worker's smoothed latency.
func (s *Scheduler) recordLatency(sr *workerState, took float64) {
	if sr.latencyMS == 0 {
		sr.latencyMS = max(1, took)
		s.latencyCount++
		s.latencySumMS += sr.latencyMS
		return
	}
	change := latencyWeight * (took - sr.latencyMS)
	sr.latencyMS += change
	s.latencySumMS += change
}

// forgetLatency forgets a worker's latency.
func (s *Scheduler) forgetLatency(sr *workerState) {
	if sr.latencyMS > 0 {
		s.latencyCount--
		s.latencySumMS -= sr.latencyMS
		sr.latencyMS = 0
	}
}

// expectedMS is how long a run of a stage takes at a worker, by the client's estimate.
func (s *Scheduler) expectedMS(stage *stageState, sr *workerState) float64 {
	return max(1, float64(stage.EstimatedDurationMS)) * s.distanceFactor(stage, sr)
}

// distanceFactor is the factor by which a task takes longer away from its data.
func (s *Scheduler) distanceFactor(stage *stageState, sr *workerState) float64 {
	if stage.Affinity == "" || stage.Affinity == sr.rack || sr.hasLabel(stage.Affinity) {
		return 1
	}
	return max(1, s.settings.RemoteFactor)
}

// remainingMS estimates how long a run still takes.
func (s *Scheduler) remainingMS(now Now, r *attemptState) float64 {
	expected := s.expectedMS(r.task.stage, r.worker)
	elapsed := float64(now.Monotonic.Sub(r.assignedAt).Milliseconds())
	if r.percent > 0 && r.percent < 100 {
		return elapsed * float64(100-r.percent) / float64(r.percent)
	}
	return max(0, expected-elapsed)
}

// inspectAttempts stops runs that stand still, and members of gangs that were given up.
func (s *Scheduler) inspectAttempts(now Now) {
	s.updatePaceRatios()
	for _, sr := range s.sortedWorkers {
		if len(sr.attempts) > 0 {
			for _, r := range sr.sortedAttempts() {
				s.inspectAttempt(now, r)
			}
		}
		if !sr.reachable && sr.fencedAt.IsZero() {
			s.ExpireLease(now, sr.ID)
		}
	}
}

func (s *Scheduler) inspectAttempt(now Now, r *attemptState) {
	stage := r.task.stage
	if r.stopping {
		return
	}
	if r.task.stage.job.ended && !stage.GangScheduled {
		s.stopAttempt(r)
		return
	}
	if stage.GangScheduled && r.number <= stage.abandonedAttempt && now.Monotonic.Sub(stage.abandonedAt) > gangStopDelay {
		s.stopAttempt(r)
		return
	}
	if s.shouldMigrate(now, r) {
		r.task.avoidWorker(r.worker)
		s.stopAttempt(r)
		return
	}
	if s.isStalled(r) {
		r.worker.backoffUntil = now.Monotonic.Add(backoffAfterStall)
		r.worker.window = max(minWindow, r.worker.window/2)
		s.stopAttempt(r)
	}
}

// isStalled tells whether a run makes no progress.
func (s *Scheduler) isStalled(r *attemptState) bool {
	stage := r.task.stage
	if !r.reported || r.progressedAt.IsZero() || stage.LongRunning || r.task.done {
		return false
	}
	patience := max(minStallTime, time.Duration(stallShare*s.expectedMS(stage, r.worker))*time.Millisecond)
	if stage.GangScheduled && r.percent == 0 {
		patience += gangStallAllowance // it begins once all members are there
	}
	return r.reportedAt.Sub(r.progressedAt) > patience
}
