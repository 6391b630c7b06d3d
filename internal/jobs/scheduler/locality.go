package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	localityWaitShare = 0.7             // of the time lost by running far from the data or across racks
	maxLocalityWait   = 2 * time.Second // wait for room near the data
)

// localityWait is how long tasks wait for room near their data rather than run elsewhere: a part of what that would cost.
func (s *Scheduler) localityWait(stage *stageState) time.Duration {
	extra := (max(1, s.settings.RemoteFactor) - 1) * float64(stage.EstimatedDurationMS)
	return min(maxLocalityWait, time.Duration(localityWaitShare*extra)*time.Millisecond)
}

// waitsForLocality tells whether a stage still waits for room near its data. It does not where nothing near could take it.
func (s *Scheduler) waitsForLocality(now Now, stage *stageState) bool {
	if stage.Affinity == "" || now.Monotonic.Sub(stage.waitingSince) >= s.localityWait(stage) {
		return false
	}
	for _, worker := range s.sortedWorkers {
		if worker.reachable && s.isEligible(stage, worker) && s.distanceFactor(stage, worker) == 1 {
			return true
		}
	}
	return false
}

// rackOf is a worker's rack: labels name its kind first and its rack last.
func rackOf(instance *workerclient.Instance) string {
	if len(instance.Labels) < 2 {
		return ""
	}
	return instance.Labels[len(instance.Labels)-1]
}
