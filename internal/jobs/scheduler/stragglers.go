package scheduler

import (
	"slices"
	"time"
)

const (
	paceWeight             = 0.25                   // weight of a new observation in a worker's pace ratio
	minPaceObservationTime = 500 * time.Millisecond // shortest time for which an attempt is observed before its pace is used
	slowWorkerFactor       = 2.5                    // multiple of the median pace ratio from which a worker counts as slow
	migrationGainFactor    = 2.0                    // an attempt migrates only if its remaining time is at least this multiple of the restart time
	migrationCostMS        = 300.0                  // time that a migration takes in addition to the stop, milliseconds
	maxMigrations          = 2                      // migrations allowed per task
	paceRatioDecay         = 0.05                   // fraction by which each inspection moves a worker's pace ratio towards the median
)

// observePace updates a worker's pace ratio with the pace of one of its attempts. The pace ratio is the smoothed duration of
// the worker's attempts relative to the expected duration.
func (s *Scheduler) observePace(attempt *attemptState) {
	pace, known := attempt.paceMS()
	if !known {
		return
	}
	ratio := pace / s.expectedDurationMS(attempt.task.stage, attempt.worker)
	if attempt.worker.paceRatio == 0 {
		attempt.worker.paceRatio = ratio
	}
	attempt.worker.paceRatio += paceWeight * (ratio - attempt.worker.paceRatio)
}

// paceMS returns the duration in milliseconds of a complete attempt at the speed observed so far. The pace is unknown until
// the attempt has been observed for minPaceObservationTime, and if the last report shows no further progress. It is also
// unknown for inherited and long-running attempts and for those being stopped.
func (attempt *attemptState) paceMS() (pace float64, known bool) {
	if !attempt.reported || attempt.inherited || attempt.stopping || attempt.task.stage.LongRunning {
		return 0, false
	}
	observed := attempt.reportedAt.Sub(attempt.firstReportedAt)
	if observed < minPaceObservationTime || attempt.percent <= attempt.firstReportedPercent || attempt.progressedAt.Before(attempt.reportedAt) {
		return 0, false
	}
	return float64(observed.Milliseconds()) * 100 / float64(attempt.percent-attempt.firstReportedPercent), true
}

// updatePaceRatios computes the median pace ratio of the reachable workers and moves each worker's ratio towards it.
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

// median sorts the values in place and returns the middle one. It returns 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// shouldMigrate reports whether an attempt on a slow worker should be stopped so that its task starts elsewhere, from its
// checkpoint if it has one. The remaining time must be at least migrationGainFactor times the estimated time for the restart.
// Gang members, tasks with several attempts and tasks that have migrated maxMigrations times never migrate.
func (s *Scheduler) shouldMigrate(attempt *attemptState) bool {
	stage := attempt.task.stage
	if stage.GangScheduled || attempt.task.done || len(attempt.task.attempts) > 1 || attempt.task.migrations >= maxMigrations {
		return false
	}
	pace, known := attempt.paceMS()
	if !known || s.slowdown(attempt.worker) < slowWorkerFactor {
		return false
	}
	remainingMS := pace * float64(100-attempt.percent) / 100
	restartMS := s.expectedDurationMS(stage, attempt.worker)*max(1, s.medianPaceRatio) + migrationCostMS + float64(s.settings.MaxStopDuration.Milliseconds())
	if stage.Checkpoints && attempt.checkpoint != "" {
		restartMS = restartMS*float64(100-attempt.percent)/100 + float64(s.settings.RestoreDuration.Milliseconds())
	}
	return remainingMS >= migrationGainFactor*restartMS
}
