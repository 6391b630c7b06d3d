package scheduler

import (
	"slices"
	"time"
)

const (
	paceWeight          = 0.25                   // weight of a new observation in a worker's pace ratio
	minPaceObservation  = 500 * time.Millisecond // an attempt is observed for so long before its pace counts
	slowWorkerFactor    = 2.5                    // times the median pace ratio: from there on a worker counts as slow
	migrationGainFactor = 2.0                    // an attempt migrates if it needs so many times longer than a restart elsewhere
	migrationCostMS     = 300.0                  // that a migration takes besides the stop
	maxMigrations       = 2                      // of one task
	paceRatioDecay      = 0.05                   // share of a worker's distance to the median that fades with each inspection
)

// observePace takes an attempt's pace into its worker's pace ratio: how many times longer than expected attempts take.
func (s *Scheduler) observePace(attempt *attemptState) {
	pace, known := attempt.paceMS()
	if !known {
		return
	}
	ratio := pace / s.expectedMS(attempt.task.stage, attempt.worker)
	if attempt.worker.paceRatio == 0 {
		attempt.worker.paceRatio = ratio
	}
	attempt.worker.paceRatio += paceWeight * (ratio - attempt.worker.paceRatio)
}

// paceMS is how long a complete attempt takes at the speed observed so far, in milliseconds. It is not known for attempts
// that have not been observed for long enough, or whose progress is not newer than the last report.
func (attempt *attemptState) paceMS() (pace float64, known bool) {
	if !attempt.reported || attempt.inherited || attempt.stopping || attempt.task.stage.LongRunning {
		return 0, false
	}
	watched := attempt.reportedAt.Sub(attempt.firstReportedAt)
	if watched < minPaceObservation || attempt.percent <= attempt.firstReportedPercent || attempt.progressedAt.Before(attempt.reportedAt) {
		return 0, false
	}
	return float64(watched.Milliseconds()) * 100 / float64(attempt.percent-attempt.firstReportedPercent), true
}

// updatePaceRatios computes the median of the workers' pace ratios, and lets each ratio fade towards it.
func (s *Scheduler) updatePaceRatios() {
	s.paceRatioScratch = s.paceRatioScratch[:0]
	for _, worker := range s.sortedWorkers {
		if worker.paceRatio > 0 && worker.reachable {
			s.paceRatioScratch = append(s.paceRatioScratch, worker.paceRatio)
		}
	}
	s.medianPaceRatio = median(s.paceRatioScratch)
	for _, worker := range s.sortedWorkers {
		if worker.paceRatio > 0 {
			worker.paceRatio += paceRatioDecay * (s.medianPaceRatio - worker.paceRatio)
		}
	}
}

// median sorts values and returns the middle one; 0 if there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// shouldMigrate tells whether an attempt on a slow worker is expected to end sooner if it is stopped and the task started
// elsewhere, from its checkpoint if there is one.
func (s *Scheduler) shouldMigrate(attempt *attemptState) bool {
	stage := attempt.task.stage
	if stage.GangScheduled || attempt.task.done || len(attempt.task.attempts) > 1 || attempt.task.migrations >= maxMigrations {
		return false
	}
	pace, known := attempt.paceMS()
	if !known || s.slowdown(attempt.worker) < slowWorkerFactor {
		return false
	}
	restMS := pace * float64(100-attempt.percent) / 100
	restartMS := s.expectedMS(stage, attempt.worker)*max(1, s.medianPaceRatio) + migrationCostMS + float64(s.settings.MaxStopDuration.Milliseconds())
	if stage.Checkpoints && attempt.checkpoint != "" {
		restartMS = restartMS*float64(100-attempt.percent)/100 + float64(s.settings.RestoreDuration.Milliseconds())
	}
	return restMS >= migrationGainFactor*restartMS
}
