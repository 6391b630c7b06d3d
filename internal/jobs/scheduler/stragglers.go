package scheduler

import (
	"slices"
	"time"
)

const (
	paceWeight          = 0.25                   // weight of a new observation in a worker's drag
	minPaceObservation  = 500 * time.Millisecond // a run is watched for so long before its pace counts
	slowWorkerFactor    = 2.5                    // times the usual drag: above, a worker counts as slow
	migrationGainFactor = 2.0                    // a run moves if it would end so many times later than elsewhere
	migrationCostMS     = 300.0                  // milliseconds that a move takes besides its stop
	maxMigrations       = 2                      // of one task
	paceRatioDecay      = 0.05                   // share of a worker's drag that fades with each inspection
)

// observePace takes the pace of a worker's runs into its drag: how many times longer than expected they take.
func (s *Scheduler) observePace(now Now, attempt *attemptState) {
	pace, known := attempt.paceMS(now)
	if !known {
		return
	}
	ratio := pace / s.expectedMS(attempt.task.stage, attempt.worker)
	if attempt.worker.paceRatio == 0 {
		attempt.worker.paceRatio = ratio
	}
	attempt.worker.paceRatio += paceWeight * (ratio - attempt.worker.paceRatio)
}

// paceMS is how long a whole run takes at the speed seen so far, in milliseconds.
func (attempt *attemptState) paceMS(now Now) (float64, bool) {
	if !attempt.reported || attempt.inherited || attempt.stopping || attempt.task.stage.LongRunning {
		return 0, false
	}
	watched := attempt.reportedAt.Sub(attempt.paceSince)
	if watched < minPaceObservation || attempt.percent <= attempt.pacePercent || attempt.progressedAt.Before(attempt.reportedAt) {
		return 0, false
	}
	return float64(watched.Milliseconds()) * 100 / float64(attempt.percent-attempt.pacePercent), true
}

// updatePaceRatios works out the usual drag of workers, which is their median.
func (s *Scheduler) updatePaceRatios() {
	s.paceRatios = s.paceRatios[:0]
	for _, worker := range s.sortedWorkers {
		if worker.paceRatio > 0 && worker.reachable {
			s.paceRatios = append(s.paceRatios, worker.paceRatio)
		}
	}
	s.medianPaceRatio = median(s.paceRatios)
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

// shouldMigrate tells whether a run is so slow that it ends sooner if it is stopped and started elsewhere.
func (s *Scheduler) shouldMigrate(now Now, attempt *attemptState) bool {
	stage := attempt.task.stage
	if stage.GangScheduled || attempt.task.done || len(attempt.task.attempts) > 1 || attempt.task.migrations >= maxMigrations {
		return false
	}
	pace, known := attempt.paceMS(now)
	if !known || s.slowdown(attempt.worker) < slowWorkerFactor {
		return false
	}
	restMS := pace * float64(100-attempt.percent) / 100
	restartMS := s.expectedMS(stage, attempt.worker)*max(1, s.medianPaceRatio) + migrationCostMS + float64(s.settings.StopTime.Milliseconds())
	if stage.Checkpoints && attempt.checkpoint != "" {
		restartMS = restartMS*float64(100-attempt.percent)/100 + float64(s.settings.RestoreTime.Milliseconds())
	}
	if restMS < migrationGainFactor*restartMS {
		return false
	}
	attempt.task.migrations++
	return true
}
