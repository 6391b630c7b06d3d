package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	gangStopDelay = 700 * time.Millisecond // until the members of a broken gang are stopped by order
)

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

// abandonGangAttempt notes that one run of a gang is given up. Its members end by themselves; inspectAttempts stops those that do not.
func (s *Scheduler) abandonGangAttempt(now Now, stage *stageState, number uint64) {
	if number <= stage.abandonedAttempt {
		return
	}
	stage.abandonedAttempt = number
	stage.abandonedAt = now.Monotonic
}
