package scheduler

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// isEligible tells whether a worker may ever take tasks of a stage: the label, the size, and that it stays.
func (s *Scheduler) isEligible(stage *stageState, worker *workerState) bool {
	if worker.Draining || !worker.inInventory || s.operatorDrains.isDraining(worker.ID) || !worker.Capacity.Fits(stage.Resources) {
		return false
	}
	for _, label := range stage.Requirements {
		if !worker.hasLabel(label) {
			return false
		}
	}
	return true
}

// isOpen tells whether a worker takes starts right now.
func (s *Scheduler) isOpen(now Now, worker *workerState) bool {
	if !worker.reachable || !worker.inInventory || worker.Draining || s.operatorDrains.isDraining(worker.ID) || worker.fencedAt.IsZero() || len(worker.orphans) > 0 {
		return false
	}
	if float64(len(worker.attempts)) >= worker.window {
		return false
	}
	return !now.Monotonic.Before(worker.backoffUntil) && !now.Monotonic.Before(worker.fullUntil)
}

// admits tells whether an open worker can take one more task of a stage, beside so many more that are planned there.
func (s *Scheduler) admits(stage *stageState, worker *workerState, planned int) bool {
	if float64(len(worker.attempts)+planned) >= worker.window {
		return false
	}
	free := worker.free()
	if planned > 0 {
		free = free.Subtract(stage.Resources.Times(int64(planned)))
	}
	if !free.Fits(stage.Resources) || !s.isEligible(stage, worker) {
		return false
	}
	return stage.AntiAffinity == 0 || worker.attemptsOfStage(stage)+planned < stage.AntiAffinity
}

// openWorkers lists the workers that take starts. They are looked for once a dispatch, and only where a task has no room
// at the worker that it is bound to.
func (s *Scheduler) openWorkers(now Now) []*workerState {
	if s.openCached {
		return s.openCache
	}
	s.openCached = true
	for _, worker := range s.sortedWorkers {
		if s.isOpen(now, worker) {
			s.openCache = append(s.openCache, worker)
		}
	}
	return s.openCache
}

// attemptsOfStage counts a stage's runs at a worker.
func (worker *workerState) attemptsOfStage(stage *stageState) int {
	count := 0
	for _, attempt := range worker.attempts {
		if attempt.task.stage == stage {
			count++
		}
	}
	return count
}

func (worker *workerState) free() job.Resources { return worker.Capacity.Subtract(worker.used) }

func (worker *workerState) hasLabel(label string) bool {
	for _, own := range worker.Labels {
		if own == label {
			return true
		}
	}
	return false
}
