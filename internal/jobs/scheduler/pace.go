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
func (s *Scheduler) observePace(now Now, r *attemptState) {
	pace, known := r.paceMS(now)
	if !known {
		return
	}
	drag := pace / s.expectedMS(r.task.stage, r.worker)
	if r.worker.paceRatio == 0 {
		r.worker.paceRatio = drag
	}
	r.worker.paceRatio += paceWeight * (drag - r.worker.paceRatio)
}

// paceMS is how long a whole run takes at the speed seen so far, in milliseconds.
func (r *attemptState) paceMS(now Now) (float64, bool) {
	if !r.reported || r.inherited || r.stopping || r.task.stage.LongRunning {
		return 0, false
	}
	watched := r.reportedAt.Sub(r.paceSince)
	if watched < minPaceObservation || r.percent <= r.pacePercent || r.progressedAt.Before(r.reportedAt) {
		return 0, false
	}
	return float64(watched.Milliseconds()) * 100 / float64(r.percent-r.pacePercent), true
}

// slowdown is how much slower than usual a worker is; 1 for the usual.
func (s *Scheduler) slowdown(sr *workerState) float64 {
	if sr.paceRatio == 0 || s.medianPaceRatio == 0 {
		return 1
	}
	return max(1, sr.paceRatio/s.medianPaceRatio)
}

// updatePaceRatios works out the usual drag of workers, which is their median.
func (s *Scheduler) updatePaceRatios() {
	s.paceRatios = s.paceRatios[:0]
	for _, sr := range s.sortedWorkers {
		if sr.paceRatio > 0 && sr.reachable {
			s.paceRatios = append(s.paceRatios, sr.paceRatio)
		}
	}
	s.medianPaceRatio = median(s.paceRatios)
	for _, sr := range s.sortedWorkers {
		if sr.paceRatio > 0 {
			sr.paceRatio += paceRatioDecay * (s.medianPaceRatio - sr.paceRatio)
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
func (s *Scheduler) shouldMigrate(now Now, r *attemptState) bool {
	stage := r.task.stage
	if stage.GangScheduled || r.task.done || len(r.task.attempts) > 1 || r.task.migrations >= maxMigrations {
		return false
	}
	pace, known := r.paceMS(now)
	if !known || s.slowdown(r.worker) < slowWorkerFactor {
		return false
	}
	rest := pace * float64(100-r.percent) / 100
	anew := s.expectedMS(stage, r.worker)*max(1, s.medianPaceRatio) + migrationCostMS + float64(s.settings.StopTime.Milliseconds())
	if stage.Checkpoints && r.checkpoint != "" {
		anew = anew*float64(100-r.percent)/100 + float64(s.settings.RestoreTime.Milliseconds())
	}
	if rest < migrationGainFactor*anew {
		return false
	}
	r.task.migrations++
	return true
}
