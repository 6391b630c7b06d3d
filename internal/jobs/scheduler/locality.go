package scheduler

import (
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	localityWaitFraction = 0.7             // fraction of the estimated time that is lost by running on remote data or across racks
	maxLocalityWait      = 2 * time.Second // upper bound, however long the estimate
)

// localityWait returns how long a stage's tasks wait for capacity near their data before they start elsewhere. This is delay
// scheduling: the wait is a fraction of the extra time that the tasks would take elsewhere. Gangs that request a single rack
// use the same wait.
func (s *Scheduler) localityWait(stage *stageState) time.Duration {
	extraMS := (max(1, s.settings.RemoteSlowdown) - 1) * float64(stage.EstimatedDurationMS)
	return min(maxLocalityWait, time.Duration(localityWaitFraction*extraMS)*time.Millisecond)
}

// waitsForLocality reports whether a stage should still wait for capacity near its data. It returns false if no reachable
// worker near the data is eligible.
func (s *Scheduler) waitsForLocality(now Now, stage *stageState) bool {
	if stage.Affinity == "" || now.Monotonic.Sub(stage.waitingSince) >= s.localityWait(stage) {
		return false
	}
	for _, worker := range s.sortedWorkers {
		if worker.reachable && s.isEligible(stage, worker) && s.remoteFactor(stage, worker) == 1 {
			return true
		}
	}
	return false
}

// rackOf returns a worker's rack, which is the last of its labels if it has at least two, and otherwise empty.
func rackOf(instance *workerclient.Instance) string {
	if len(instance.Labels) < 2 {
		return ""
	}
	return instance.Labels[len(instance.Labels)-1]
}
