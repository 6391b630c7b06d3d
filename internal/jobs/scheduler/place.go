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
func (s *Scheduler) isEligible(stage *stageState, sr *workerState) bool {
	if sr.Draining || !sr.inInventory || s.operatorDrains.isDraining(sr.ID) || !sr.Capacity.Fits(stage.Resources) {
		return false
	}
	for _, label := range stage.Requirements {
		if !sr.hasLabel(label) {
			return false
		}
	}
	return true
}

// bind chooses the worker where a task waits: the least cost among the eligible.
func (s *Scheduler) bindTask(now Now, t *taskState) {
	s.unbindTask(t)
	var best *workerState
	bestCost := math.Inf(1)
	for _, sr := range s.sortedWorkers {
		if !sr.reachable || !s.isEligible(t.stage, sr) {
			continue
		}
		cost := s.cost(t.stage, sr)
		if slices.Contains(t.avoidedWorkers, sr.ID) {
			cost *= 1 + failureCost
		}
		if cost < bestCost {
			best, bestCost = sr, cost
		}
	}
	if best != nil {
		t.boundTo = best
		best.boundTasks++
	}
}

func (s *Scheduler) unbindTask(t *taskState) {
	if t.boundTo != nil {
		t.boundTo.boundTasks--
		t.boundTo = nil
	}
}

// rebindTasks binds the tasks anew that wait at a worker which cannot take them any more.
func (s *Scheduler) rebindTasks(now Now, sr *workerState) {
	for _, stage := range s.waitingStages {
		for _, t := range stage.waiting {
			if t.boundTo == sr {
				s.bindTask(now, t)
			}
		}
	}
	s.orderStale = true
}

// bindUnboundTasks binds the tasks that found no eligible worker before.
func (s *Scheduler) bindUnboundTasks(now Now) {
	for _, stage := range s.waitingStages {
		for _, t := range stage.waiting {
			if t.boundTo == nil {
				s.bindTask(now, t)
			}
		}
	}
	s.orderStale = true
}

// isOpen tells whether a worker takes starts right now.
func (s *Scheduler) isOpen(now Now, sr *workerState) bool {
	if !sr.reachable || !sr.inInventory || sr.Draining || s.operatorDrains.isDraining(sr.ID) || sr.fencedAt.IsZero() || len(sr.orphans) > 0 {
		return false
	}
	if float64(len(sr.attempts)) >= sr.window {
		return false
	}
	return !now.Monotonic.Before(sr.backoffUntil) && !now.Monotonic.Before(sr.fullUntil)
}

// admits tells whether an open worker can take one more task of a stage, beside so many more that are planned there.
func (s *Scheduler) admits(stage *stageState, sr *workerState, planned int) bool {
	if float64(len(sr.attempts)+planned) >= sr.window {
		return false
	}
	free := sr.free()
	if planned > 0 {
		free = free.Subtract(stage.Resources.Times(int64(planned)))
	}
	if !free.Fits(stage.Resources) || !s.isEligible(stage, sr) {
		return false
	}
	return stage.AntiAffinity == 0 || sr.attemptsOfStage(stage)+planned < stage.AntiAffinity
}

// attemptsOfStage counts a stage's runs at a worker.
func (sr *workerState) attemptsOfStage(stage *stageState) int {
	count := 0
	for _, r := range sr.attempts {
		if r.task.stage == stage {
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
	var refused unplaceableRequests
	for _, stage := range s.waitingStages {
		if s.openCached && len(s.openCache) == 0 {
			return
		}
		if len(stage.waiting) == 0 || refused.covers(stage) {
			continue
		}
		if stage.GangScheduled {
			s.startGang(now, stage)
			continue
		}
		s.startTasks(now, stage, &refused)
	}
}

// openWorkers lists the workers that take starts. They are looked for once a dispatch, and only where a task has no room
// at the worker that it is bound to.
func (s *Scheduler) openWorkers(now Now) []*workerState {
	if s.openCached {
		return s.openCache
	}
	s.openCached = true
	for _, sr := range s.sortedWorkers {
		if s.isOpen(now, sr) {
			s.openCache = append(s.openCache, sr)
		}
	}
	return s.openCache
}

// startTasks starts as many of a stage's tasks as there is room for.
func (s *Scheduler) startTasks(now Now, stage *stageState, refused *unplaceableRequests) {
	near := s.waitsForLocality(now, stage)
	for _, t := range slices.Clone(stage.waiting) {
		if now.Monotonic.Before(t.backoffUntil) {
			continue
		}
		sr := s.chooseWorker(now, t, near)
		if sr != nil {
			s.assign(now, t, sr, t.attemptNumber+1)
			continue
		}
		if len(t.attempts) == 0 {
			if !near {
				refused.add(stage)
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
	for _, sr := range s.sortedWorkers {
		if sr.reachable && s.isEligible(stage, sr) && s.distanceFactor(stage, sr) == 1 {
			return true
		}
	}
	return false
}

// chooseWorker picks an open worker with room: the one where the task is bound, else the least costly sibling.
func (s *Scheduler) chooseWorker(now Now, t *taskState, near bool) *workerState {
	if bound := t.boundTo; bound != nil && s.isOpen(now, bound) && s.canPlace(t, bound, near) && !slices.Contains(t.avoidedWorkers, bound.ID) {
		return bound
	}
	var best *workerState
	bestCost := math.Inf(1)
	for _, sr := range s.openWorkers(now) {
		if !s.canPlace(t, sr, near) {
			continue
		}
		cost := s.cost(t.stage, sr)
		if slices.Contains(t.avoidedWorkers, sr.ID) {
			cost *= 1 + failureCost
		}
		if cost < bestCost {
			best, bestCost = sr, cost
		}
	}
	return best
}

// canPlace tells whether an open worker can take a task, near its data if it stays there.
func (s *Scheduler) canPlace(t *taskState, sr *workerState, near bool) bool {
	if near && s.distanceFactor(t.stage, sr) > 1 {
		return false
	}
	return s.admits(t.stage, sr, 0) && sr.attempts[t.id] == nil
}

// assign gives a task to a worker.
func (s *Scheduler) assign(now Now, t *taskState, sr *workerState, execution uint64) {
	s.dequeue(t)
	t.attemptNumber = execution
	r := &attemptState{task: t, worker: sr, number: execution, assignedAt: now.Monotonic}
	t.attempts = append(t.attempts, r)
	sr.attempts[t.id] = r
	sr.used = sr.used.Add(t.stage.Resources)
	t.stage.job.started = true
	s.writeTaskRecord(t)
	order := &workerclient.StartOrder{Task: t.id, Execution: execution, Specification: t.stage.job.Specification.Text, Checkpoint: t.checkpoint}
	s.effects.Commands = append(s.effects.Commands, Command{Worker: sr.ID, Start: order})
}

// startGang starts all members at once or none.
func (s *Scheduler) startGang(now Now, stage *stageState) {
	if len(stage.waiting) < stage.incompleteTasks || len(stage.waiting) < stage.Count {
		return // a member's last run is not over yet
	}
	execution := uint64(0)
	for _, t := range stage.tasks {
		execution = max(execution, t.attemptNumber)
		if now.Monotonic.Before(t.backoffUntil) {
			return
		}
	}
	placed := s.planGang(now, stage)
	if placed == nil {
		return
	}
	for i, t := range stage.tasks {
		s.assign(now, t, placed[i], execution+1)
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
	room := map[string]int64{}
	for _, sr := range s.sortedWorkers {
		if sr.reachable && s.isEligible(stage, sr) {
			room[sr.rack] += sr.Capacity.FitCount(stage.Resources)
		}
	}
	for rack, count := range room {
		if rack != "" && count >= int64(stage.Count) {
			return true
		}
	}
	return false
}

// openRacks lists the racks of open workers.
func (s *Scheduler) openRacks(now Now) []string {
	var racks []string
	for _, sr := range s.openWorkers(now) {
		if sr.rack != "" && !slices.Contains(racks, sr.rack) {
			racks = append(racks, sr.rack)
		}
	}
	return racks
}

// planOnRack places a gang on a rack ("" for all of them), filling the least costly workers first.
func (s *Scheduler) planOnRack(now Now, stage *stageState, rack string) []*workerState {
	var candidates []*workerState
	for _, sr := range s.openWorkers(now) {
		if (rack == "" || sr.rack == rack) && s.admits(stage, sr, 0) {
			candidates = append(candidates, sr)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int { return cmp.Compare(s.cost(stage, a), s.cost(stage, b)) })
	var placed []*workerState
	for _, sr := range candidates {
		for planned := 0; len(placed) < stage.Count && s.admits(stage, sr, planned); planned++ {
			placed = append(placed, sr)
		}
	}
	if len(placed) < stage.Count {
		return nil
	}
	return placed
}
