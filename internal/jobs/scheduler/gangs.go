package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// gangStopDelay is how long the members of an abandoned attempt have to end without a stop.
const gangStopDelay = 700 * time.Millisecond

// startGang starts all members at once, under one attempt number, or none.
func (s *Scheduler) startGang(now Now, stage *stageState) {
	if len(stage.waiting) < stage.incompleteTasks || len(stage.waiting) < stage.Count {
		return // a member's last attempt may still be under way
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

// planGang finds a worker for each member: on one rack if the stage wants that and one has the capacity, else anywhere;
// nil if there is not capacity for all, or a rack is worth waiting for.
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

// fitsOneRack tells whether some rack could take the complete gang if it were idle.
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

// planOnRack places a gang on a rack ("" for any workers), filling the least costly ones first; nil if not all members fit.
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

// abandonGangAttempt gives up one attempt of a gang. Its members end without a stop; inspectAttempt stops those that do
// not.
func (s *Scheduler) abandonGangAttempt(now Now, stage *stageState, number uint64) {
	if number <= stage.abandonedAttempt {
		return
	}
	stage.abandonedAttempt = number
	stage.abandonedAt = now.Monotonic
}
