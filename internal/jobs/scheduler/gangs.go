package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// gangStopDelay is the time that the members of an abandoned gang attempt have to end by themselves before they are stopped.
const gangStopDelay = 700 * time.Millisecond

// startGang starts all members of a gang at once, with the same attempt number, or none of them.
func (s *Scheduler) startGang(now Now, stage *stageState) {
	if len(stage.waiting) < stage.incompleteTasks || len(stage.waiting) < stage.Count {
		return // a member's last attempt may still be running
	}
	number := uint64(0)
	for _, task := range stage.tasks {
		number = max(number, task.attemptNumber)
		if now.Monotonic.Before(task.backoffUntil) {
			return
		}
	}
	placement := s.planGang(now, stage)
	if placement == nil {
		return
	}
	for i, task := range stage.tasks {
		s.assign(now, task, placement[i], number+1)
	}
}

// planGang chooses a worker for each member. If the stage requests a single rack, it tries each rack first, and falls back to
// any workers. It returns nil if the capacity does not suffice for all members. It also returns nil while the gang should
// still wait for capacity on a single rack.
//
// A gang cannot start with a few members to widen the windows. If it does not fit into them, they are all extended by the same
// factor, the smallest that suffices, so that workers with a narrow window still get the fewest members.
func (s *Scheduler) planGang(now Now, stage *stageState) []*workerState {
	if s.membersWithRoom(stage, s.workersAcceptingStarts(now)) < stage.Count {
		return nil
	}
	for windowFactor := 1.0; ; windowFactor *= 2 {
		if placement := s.planGangOnOneRack(now, stage, windowFactor); placement != nil {
			return placement
		}
		if s.waitsForOneRack(now, stage) {
			return nil
		}
		if placement := s.planGangOnRack(now, stage, "", windowFactor); placement != nil {
			return placement
		}
	}
}

// membersWithRoom returns the number of a gang's members for which workers that accept starts have room, at most all.
func (s *Scheduler) membersWithRoom(stage *stageState, workers []*workerState) int {
	members := 0
	for _, worker := range workers {
		for planned := 0; members < stage.Count && s.hasRoom(stage, worker, planned); planned++ {
			members++
		}
	}
	return members
}

// planGangOnOneRack chooses a worker for each member on the first rack that suffices, if the stage requests a single rack.
// Otherwise, or if no rack suffices, it returns nil.
func (s *Scheduler) planGangOnOneRack(now Now, stage *stageState, windowFactor float64) []*workerState {
	if !stage.SameRack {
		return nil
	}
	for _, rack := range s.racksAcceptingStarts(now) {
		if placement := s.planGangOnRack(now, stage, rack, windowFactor); placement != nil {
			return placement
		}
	}
	return nil
}

// waitsForOneRack reports whether a gang should still wait for capacity on a single rack.
func (s *Scheduler) waitsForOneRack(now Now, stage *stageState) bool {
	return stage.SameRack && now.Monotonic.Sub(stage.waitingSince) < s.localityWait(stage) && s.gangFitsOneRack(stage)
}

// gangFitsOneRack reports whether the complete gang would fit on one rack if that rack were idle.
func (s *Scheduler) gangFitsOneRack(stage *stageState) bool {
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

// racksAcceptingStarts returns the racks of the workers that accept starts.
func (s *Scheduler) racksAcceptingStarts(now Now) []string {
	var racks []string
	for _, worker := range s.workersAcceptingStarts(now) {
		if worker.rack != "" && !slices.Contains(racks, worker.rack) {
			racks = append(racks, worker.rack)
		}
	}
	return racks
}

// planGangOnRack chooses a worker on the given rack for each member of a gang. An empty rack permits all workers. Workers of
// least cost are filled first, each up to its window times the factor. It returns nil if not all members fit.
func (s *Scheduler) planGangOnRack(now Now, stage *stageState, rack string, windowFactor float64) []*workerState {
	admitsMember := func(worker *workerState, planned int) bool {
		return worker.windowAdmits(planned, windowFactor) && s.hasRoom(stage, worker, planned)
	}
	var candidates []*workerState
	for _, worker := range s.workersAcceptingStarts(now) {
		if (rack == "" || worker.rack == rack) && admitsMember(worker, 0) {
			candidates = append(candidates, worker)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *workerState) int { return cmp.Compare(s.stageCost(stage, a), s.stageCost(stage, b)) })
	var placement []*workerState
	for _, worker := range candidates {
		for planned := 0; len(placement) < stage.Count && admitsMember(worker, planned); planned++ {
			placement = append(placement, worker)
		}
	}
	if len(placement) < stage.Count {
		return nil
	}
	return placement
}

// abandonGangAttempt marks one attempt of a gang as abandoned. Its members are expected to end by themselves. inspectAttempt
// stops those that are still running after gangStopDelay.
func (s *Scheduler) abandonGangAttempt(now Now, stage *stageState, number uint64) {
	if number <= stage.abandonedAttempt {
		return
	}
	stage.abandonedAttempt = number
	stage.abandonedAt = now.Monotonic
}

// abandonInheritedGangAttempt abandons the attempt of a gang that was restored if it is under way at some members only. As the
// records of all members are written at once when a gang is started or completed, the attempt was broken under an earlier
// leadership.
func (s *Scheduler) abandonInheritedGangAttempt(now Now, stage *stageState) {
	membersUnderWay, number := 0, uint64(0)
	for _, task := range stage.tasks {
		for _, attempt := range task.attempts {
			membersUnderWay++
			number = max(number, attempt.number)
		}
	}
	if membersUnderWay < stage.Count {
		s.abandonGangAttempt(now, stage, number)
	}
}
