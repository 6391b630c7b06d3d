package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	localityWaitShare = 0.7             // of the time that a task loses away from its data, or a gang across racks
	maxLocalityWait   = 2 * time.Second // whatever the estimate
)

// localityWait is how long tasks wait for capacity near their data rather than start elsewhere (delay scheduling): a share
// of the time that starting elsewhere would cost.
func (s *Scheduler) localityWait(stage *stageState) time.Duration {
	extra := (max(1, s.settings.RemoteSlowdown) - 1) * float64(stage.EstimatedDurationMS)
	return min(maxLocalityWait, time.Duration(localityWaitShare*extra)*time.Millisecond)
}

// waitsForLocality tells whether a stage still waits for capacity near its data. It does not if no worker there could ever
// take it.
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

// rackOf is a worker's rack, the last of its labels if there are several; empty if there is none.
func rackOf(instance *workerclient.Instance) string {
	if len(instance.Labels) < 2 {
		return ""
	}
	return instance.Labels[len(instance.Labels)-1]
}
