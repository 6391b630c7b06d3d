package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	failureCost       = 8.0             // how much costlier a worker is all of whose runs fail
	localityWaitShare = 0.7             // of the time lost by running far from the data or across racks
	maxLocalityWait   = 2 * time.Second // wait for room near the data
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

// bind chooses the worker where a task waits: the least cost among the eligible.
func (s *Scheduler) bindTask(now Now, task *taskState) {
	s.unbindTask(task)
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.sortedWorkers {
		if !worker.reachable || !s.isEligible(task.stage, worker) {
			continue
		}
		cost := s.cost(task.stage, worker)
		if slices.Contains(task.avoidedWorkers, worker.ID) {
			cost *= 1 + failureCost
		}
		if cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	if best != nil {
		task.boundTo = best
		best.boundTasks++
	}
}

func (s *Scheduler) unbindTask(task *taskState) {
	if task.boundTo != nil {
		task.boundTo.boundTasks--
		task.boundTo = nil
	}
}

// rebindTasks binds the tasks anew that wait at a worker which cannot take them any more.
func (s *Scheduler) rebindTasks(now Now, worker *workerState) {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == worker {
				s.bindTask(now, task)
			}
		}
	}
	s.orderStale = true
}

// bindUnboundTasks binds the tasks that found no eligible worker before.
func (s *Scheduler) bindUnboundTasks(now Now) {
	for _, stage := range s.waitingStages {
		for _, task := range stage.waiting {
			if task.boundTo == nil {
				s.bindTask(now, task)
			}
		}
	}
	s.orderStale = true
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

// Dispatch starts waiting tasks in their order, wherever there is room.
func (s *Scheduler) Dispatch(now Now) {
	s.dispatchNeeded = false
	s.orderQueue(now)
	s.openCache, s.openCached = s.openCache[:0], false
	var unplaceable unplaceableRequests
	for _, stage := range s.waitingStages {
		if s.openCached && len(s.openCache) == 0 {
			return
		}
		if len(stage.waiting) == 0 || unplaceable.covers(stage) {
			continue
		}
		if stage.GangScheduled {
			s.startGang(now, stage)
			continue
		}
		s.startTasks(now, stage, &unplaceable)
	}
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

// startTasks starts as many of a stage's tasks as there is room for.
func (s *Scheduler) startTasks(now Now, stage *stageState, unplaceable *unplaceableRequests) {
	localOnly := s.waitsForLocality(now, stage)
	for _, task := range slices.Clone(stage.waiting) {
		if now.Monotonic.Before(task.backoffUntil) {
			continue
		}
		worker := s.chooseWorker(now, task, localOnly)
		if worker != nil {
			s.assign(now, task, worker, task.attemptNumber+1)
			continue
		}
		if len(task.attempts) == 0 {
			if !localOnly {
				unplaceable.add(stage)
			}
			return // its siblings ask for the same
		}
	}
}

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

// chooseWorker picks an open worker with room: the one where the task is bound, else the least costly sibling.
func (s *Scheduler) chooseWorker(now Now, task *taskState, localOnly bool) *workerState {
	if bound := task.boundTo; bound != nil && s.isOpen(now, bound) && s.canPlace(task, bound, localOnly) && !slices.Contains(task.avoidedWorkers, bound.ID) {
		return bound
	}
	var best *workerState
	bestCost := math.Inf(1)
	for _, worker := range s.openWorkers(now) {
		if !s.canPlace(task, worker, localOnly) {
			continue
		}
		cost := s.cost(task.stage, worker)
		if slices.Contains(task.avoidedWorkers, worker.ID) {
			cost *= 1 + failureCost
		}
		if cost < bestCost {
			best, bestCost = worker, cost
		}
	}
	return best
}

// canPlace tells whether an open worker can take a task, near its data if it stays there.
func (s *Scheduler) canPlace(task *taskState, worker *workerState, localOnly bool) bool {
	if localOnly && s.distanceFactor(task.stage, worker) > 1 {
		return false
	}
	return s.admits(task.stage, worker, 0) && worker.attempts[task.id] == nil
}

// assign gives a task to a worker.
func (s *Scheduler) assign(now Now, task *taskState, worker *workerState, number uint64) {
	s.dequeue(task)
	task.attemptNumber = number
	attempt := &attemptState{task: task, worker: worker, number: number, assignedAt: now.Monotonic}
	task.attempts = append(task.attempts, attempt)
	worker.attempts[task.id] = attempt
	worker.used = worker.used.Add(task.stage.Resources)
	task.stage.job.started = true
	s.writeTaskRecord(task)
	command := &workerclient.StartOrder{Task: task.id, Execution: number, Specification: task.stage.job.Specification.Text, Checkpoint: task.checkpoint}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: worker.ID, Start: command})
}

// startGang starts all members at once or none.
func (s *Scheduler) startGang(now Now, stage *stageState) {
	if len(stage.waiting) < stage.incompleteTasks || len(stage.waiting) < stage.Count {
		return // a member's last run is not over yet
	}
	number := uint64(0)
	for _, task := range stage.tasks {
		number = max(number, task.attemptNumber)
		if now.Monotonic.Before(task.backoffUntil) {
			return
		}
	}
	placed := s.planGang(now, stage)
	if placed == nil {
		return
	}
	for i, task := range stage.tasks {
		s.assign(now, task, placed[i], number+1)
	}
}

// planGang finds room for all members: on one rack if they want that and one has room, else anywhere.
func (s *Scheduler) planGang(now Now, stage *stageState) []*workerState {
	if stage.SameRack {
		for _, rack := range s.openRacks(now) {
			if placed := s.planOnRack(now, stage, rack); placed != nil {
				return placed
			}
		}
		if now.Monotonic.Sub(stage.waitingSince) < s.localityWait(stage) && s.fitsOneRack(stage) {
			return nil
		}
	}
	return s.planOnRack(now, stage, "")
}

// fitsOneRack tells whether some rack could take a whole gang if it were idle.
func (s *Scheduler) fitsOneRack(stage *stageState) bool {
	capacityByRack := map[string]int64{}
	for _, worker := range s.sortedWorkers {
		if worker.reachable && s.isEligible(stage, worker) {
			capacityByRack[worker.rack] += worker.Capacity.FitCount(stage.Resources)
		}
	}
	for rack, count := range capacityByRack {
		if rack != "" && count >= int64(stage.Count) {
			return true
		}
	}
	return false
}

// openRacks lists the racks of open workers.
func (s *Scheduler) openRacks(now Now) []string {
	var racks []string
	for _, worker := range s.openWorkers(now) {
		if worker.rack != "" && !slices.Contains(racks, worker.rack) {
			racks = append(racks, worker.rack)
		}
	}
	return racks
}

// planOnRack places a gang on a rack ("" for all of them), filling the least costly workers first.
func (s *Scheduler) planOnRack(now Now, stage *stageState, rack string) []*workerState {
	var candidates []*workerState
	for _, worker := range s.openWorkers(now) {
		if (rack == "" || worker.rack == rack) && s.admits(stage, worker, 0) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int { return cmp.Compare(s.cost(stage, a), s.cost(stage, b)) })
	var placed []*workerState
	for _, worker := range candidates {
		for planned := 0; len(placed) < stage.Count && s.admits(stage, worker, planned); planned++ {
			placed = append(placed, worker)
		}
	}
	if len(placed) < stage.Count {
		return nil
	}
	return placed
}
