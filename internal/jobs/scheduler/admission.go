package scheduler

import (
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// isEligible reports whether a worker could run tasks of a stage if it were idle: the worker is schedulable, its capacity
// covers one task's request, and it has all labels that the stage requires.
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

// isSchedulable reports whether the platform has listed the worker, and neither the platform nor an operator drains it.
func (s *Scheduler) isSchedulable(worker *workerState) bool {
	return worker.inInventory && !worker.Draining && !s.operatorDrains.isDraining(worker.ID)
}

// acceptsStarts reports whether tasks may be started on a worker at present, apart from its window and the capacity that they
// request. No task is started on a worker while an orphaned attempt is being stopped there: the worker's free capacity is
// unknown until the orphan has ended.
func (s *Scheduler) acceptsStarts(now Now, worker *workerState) bool {
	if !worker.reachable || !s.isSchedulable(worker) || worker.fencedAt.IsZero() || len(worker.orphans) > 0 {
		return false
	}
	return !worker.isBackingOff(now)
}

// isBackingOff reports whether starts on a worker are suspended for a short time, because the worker rejected a start or an
// attempt stalled there.
func (worker *workerState) isBackingOff(now Now) bool {
	return now.Monotonic.Before(worker.backoffUntil) || now.Monotonic.Before(worker.capacityBackoffUntil)
}

// windowAdmits reports whether a worker's window, multiplied by a factor, admits one more attempt in addition to plannedTasks
// planned ones. Only unproven attempts count, so that attempts that do not end never bar a worker from further starts: the
// window limits what is at stake on a worker that is untried or fails.
func (worker *workerState) windowAdmits(plannedTasks int, factor float64) bool {
	return float64(len(worker.attempts)-worker.provenAttempts+plannedTasks) < worker.window*factor
}

// admits reports whether a worker that accepts starts can run one more task of a stage: its window admits an attempt, and it
// has room for the task.
func (s *Scheduler) admits(stage *stageState, worker *workerState) bool {
	return worker.windowAdmits(0, 1) && s.hasRoom(stage, worker, 0)
}

// hasRoom reports whether a worker can run one more task of a stage, in addition to plannedTasks tasks of that stage that are
// already planned there. It checks the worker's free capacity, its eligibility and the stage's anti-affinity limit.
func (s *Scheduler) hasRoom(stage *stageState, worker *workerState, plannedTasks int) bool {
	free := worker.freeCapacity()
	if plannedTasks > 0 {
		free = free.Subtract(stage.Times(int64(plannedTasks)))
	}
	if !free.Fits(stage.Resources) || !s.isEligible(stage, worker) {
		return false
	}
	return stage.AntiAffinity == 0 || worker.attemptsOfStage(stage)+plannedTasks < stage.AntiAffinity
}

// workersAcceptingStarts returns the workers for which acceptsStarts is true. The list is computed at most once per dispatch,
// when the first task cannot start on the worker that it is bound to.
func (s *Scheduler) workersAcceptingStarts(now Now) []*workerState {
	if s.acceptingWorkersListed {
		return s.acceptingWorkers
	}
	s.acceptingWorkersListed = true
	for _, worker := range s.sortedWorkers {
		if s.acceptsStarts(now, worker) {
			s.acceptingWorkers = append(s.acceptingWorkers, worker)
		}
	}
	return s.acceptingWorkers
}

// attemptsOfStage returns the number of a stage's attempts on the worker.
func (worker *workerState) attemptsOfStage(stage *stageState) int {
	count := 0
	for _, attempt := range worker.attempts {
		if attempt.task.stage == stage {
			count++
		}
	}
	return count
}

// markProven excludes an attempt from those that count towards its worker's window.
func (attempt *attemptState) markProven() {
	if !attempt.proven {
		attempt.proven = true
		attempt.worker.provenAttempts++
	}
}

// freeCapacity returns the worker's capacity minus the requests of the attempts assigned to it. It is negative if these
// requests exceed the capacity that the platform reports.
func (worker *workerState) freeCapacity() job.Resources { return worker.Capacity.Subtract(worker.used) }

func (worker *workerState) hasLabel(label string) bool {
	for _, workerLabel := range worker.Labels {
		if workerLabel == label {
			return true
		}
	}
	return false
}
