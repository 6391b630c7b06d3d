package scheduler

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// isEligible tells whether a worker may ever take tasks of a stage, whatever its load: it is schedulable, large enough,
// and has the labels that the stage requires.
func (s *Scheduler) isEligible(stage *stageState, worker *workerState) bool {
	if !s.isSchedulable(worker) || !worker.Capacity.Fits(stage.Resources) {
		return false
	}
	for _, label := range stage.Requirements {
		if !worker.hasLabel(label) {
			return false
		}
	}
	return true
}

// isSchedulable tells whether a worker may take starts as far as the platform and operators are concerned.
func (s *Scheduler) isSchedulable(worker *workerState) bool {
	return worker.inInventory && !worker.Draining && !s.operatorDrains.isDraining(worker.ID)
}

// isOpen tells whether a worker takes starts at present. A worker on which an orphan is being stopped does not: its
// capacity is not known until that has ended.
func (s *Scheduler) isOpen(now Now, worker *workerState) bool {
	if !worker.reachable || !s.isSchedulable(worker) || worker.fencedAt.IsZero() || len(worker.orphans) > 0 {
		return false
	}
	if float64(len(worker.attempts)) >= worker.window {
		return false
	}
	return !worker.isBackingOff(now)
}

// isBackingOff tells whether a worker takes no starts for a moment, after it rejected one or an attempt stalled there.
func (worker *workerState) isBackingOff(now Now) bool {
	return now.Monotonic.Before(worker.backoffUntil) || now.Monotonic.Before(worker.fullUntil)
}

// admits tells whether an open worker can take one more task of a stage, beside as many that are already planned there:
// within its window, its free capacity and the job's anti-affinity.
func (s *Scheduler) admits(stage *stageState, worker *workerState, planned int) bool {
	if float64(len(worker.attempts)+planned) >= worker.window {
		return false
	}
	free := worker.free()
	if planned > 0 {
		free = free.Subtract(stage.Times(int64(planned)))
	}
	if !free.Fits(stage.Resources) || !s.isEligible(stage, worker) {
		return false
	}
	return stage.AntiAffinity == 0 || worker.attemptsOfStage(stage)+planned < stage.AntiAffinity
}

// openWorkers lists the workers that take starts at present. They are listed once in a dispatch, and only if a task does
// not fit at the worker that it is bound to.
func (s *Scheduler) openWorkers(now Now) []*workerState {
	if s.openWorkersCached {
		return s.openWorkersCache
	}
	s.openWorkersCached = true
	for _, worker := range s.sortedWorkers {
		if s.isOpen(now, worker) {
			s.openWorkersCache = append(s.openWorkersCache, worker)
		}
	}
	return s.openWorkersCache
}

// attemptsOfStage counts a stage's attempts at a worker.
func (worker *workerState) attemptsOfStage(stage *stageState) int {
	count := 0
	for _, attempt := range worker.attempts {
		if attempt.task.stage == stage {
			count++
		}
	}
	return count
}

// free is the capacity that is left, by our count; below 0 where a worker takes more than it offers.
func (worker *workerState) free() job.Resources { return worker.Capacity.Subtract(worker.used) }

func (worker *workerState) hasLabel(label string) bool {
	for _, own := range worker.Labels {
		if own == label {
			return true
		}
	}
	return false
}
