package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

const (
	faultCost     = 8.0             // how much costlier a worker is all of whose runs fail
	patienceShare = 0.7             // of the time lost by running far from the data or across racks
	mostPatience  = 2 * time.Second // wait for room near the data
)

// suits tells whether a worker may ever take tasks of a stage: the label, the size, and that it stays.
func (s *Scheduler) suits(stage *stageRun, sr *worker) bool {
	if sr.Draining || !sr.listed || s.operatorDrains.has(sr.ID) || !sr.Capacity.Fits(stage.Resources) {
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
func (s *Scheduler) bind(now Now, t *task) {
	s.unbind(t)
	var best *worker
	bestCost := math.Inf(1)
	for _, sr := range s.list {
		if !sr.reachable || !s.suits(t.stage, sr) {
			continue
		}
		cost := s.cost(t.stage, sr)
		if slices.Contains(t.avoid, sr.ID) {
			cost *= 1 + faultCost
		}
		if cost < bestCost {
			best, bestCost = sr, cost
		}
	}
	if best != nil {
		t.bound = best
		best.held++
	}
}

func (s *Scheduler) unbind(t *task) {
	if t.bound != nil {
		t.bound.held--
		t.bound = nil
	}
}

// rebind binds the tasks anew that wait at a worker which cannot take them any more.
func (s *Scheduler) rebind(now Now, sr *worker) {
	for _, stage := range s.stages {
		for _, t := range stage.waiting {
			if t.bound == sr {
				s.bind(now, t)
			}
		}
	}
	s.unsorted = true
}

// bindAll binds the tasks that found no eligible worker before.
func (s *Scheduler) bindAll(now Now) {
	for _, stage := range s.stages {
		for _, t := range stage.waiting {
			if t.bound == nil {
				s.bind(now, t)
			}
		}
	}
	s.unsorted = true
}

// isOpen tells whether a worker takes starts right now.
func (s *Scheduler) isOpen(now Now, sr *worker) bool {
	if !sr.reachable || !sr.listed || sr.Draining || s.operatorDrains.has(sr.ID) || sr.fencedAt.IsZero() || len(sr.orphans) > 0 {
		return false
	}
	if float64(len(sr.runs)) >= sr.window {
		return false
	}
	return !now.Steady.Before(sr.restUntil) && !now.Steady.Before(sr.fullUntil)
}

// admits tells whether an open worker can take one more task of a stage, beside so many more that are planned there.
func (s *Scheduler) admits(stage *stageRun, sr *worker, planned int) bool {
	if float64(len(sr.runs)+planned) >= sr.window {
		return false
	}
	free := sr.free()
	if planned > 0 {
		free = free.Subtract(stage.Resources.Times(int64(planned)))
	}
	if !free.Fits(stage.Resources) || !s.suits(stage, sr) {
		return false
	}
	return stage.AntiAffinity == 0 || sr.tasksOf(stage)+planned < stage.AntiAffinity
}

// tasksOf counts a stage's runs at a worker.
func (sr *worker) tasksOf(stage *stageRun) int {
	count := 0
	for _, r := range sr.runs {
		if r.task.stage == stage {
			count++
		}
	}
	return count
}

// Dispatch starts waiting tasks in their order, wherever there is room.
func (s *Scheduler) Dispatch(now Now) {
	s.unplaced = false
	s.reorder(now)
	s.open, s.opened = s.open[:0], false
	var refused refusals
	for _, stage := range s.stages {
		if s.opened && len(s.open) == 0 {
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
func (s *Scheduler) openWorkers(now Now) []*worker {
	if s.opened {
		return s.open
	}
	s.opened = true
	for _, sr := range s.list {
		if s.isOpen(now, sr) {
			s.open = append(s.open, sr)
		}
	}
	return s.open
}

// startTasks starts as many of a stage's tasks as there is room for.
func (s *Scheduler) startTasks(now Now, stage *stageRun, refused *refusals) {
	near := s.staysNear(now, stage)
	for _, t := range slices.Clone(stage.waiting) {
		if now.Steady.Before(t.notBefore) {
			continue
		}
		sr := s.choose(now, t, near)
		if sr != nil {
			s.assign(now, t, sr, t.execution+1)
			continue
		}
		if len(t.runs) == 0 {
			if !near {
				refused.add(stage)
			}
			return // its siblings ask for the same
		}
	}
}

// patience is how long tasks wait for room near their data rather than run elsewhere: a part of what that would cost.
func (s *Scheduler) patience(stage *stageRun) time.Duration {
	extra := (max(1, s.settings.FarFactor) - 1) * float64(stage.EstimatedDurationMS)
	return min(mostPatience, time.Duration(patienceShare*extra)*time.Millisecond)
}

// staysNear tells whether a stage still waits for room near its data. It does not where nothing near could take it.
func (s *Scheduler) staysNear(now Now, stage *stageRun) bool {
	if stage.Affinity == "" || now.Steady.Sub(stage.readyAt) >= s.patience(stage) {
		return false
	}
	for _, sr := range s.list {
		if sr.reachable && s.suits(stage, sr) && s.distance(stage, sr) == 1 {
			return true
		}
	}
	return false
}

// choose picks an open worker with room: the one where the task is bound, else the least costly sibling.
func (s *Scheduler) choose(now Now, t *task, near bool) *worker {
	if bound := t.bound; bound != nil && s.isOpen(now, bound) && s.mayTake(t, bound, near) && !slices.Contains(t.avoid, bound.ID) {
		return bound
	}
	var best *worker
	bestCost := math.Inf(1)
	for _, sr := range s.openWorkers(now) {
		if !s.mayTake(t, sr, near) {
			continue
		}
		cost := s.cost(t.stage, sr)
		if slices.Contains(t.avoid, sr.ID) {
			cost *= 1 + faultCost
		}
		if cost < bestCost {
			best, bestCost = sr, cost
		}
	}
	return best
}

// mayTake tells whether an open worker can take a task, near its data if it stays there.
func (s *Scheduler) mayTake(t *task, sr *worker, near bool) bool {
	if near && s.distance(t.stage, sr) > 1 {
		return false
	}
	return s.admits(t.stage, sr, 0) && sr.runs[t.id] == nil
}

// assign gives a task to a worker.
func (s *Scheduler) assign(now Now, t *task, sr *worker, execution uint64) {
	s.unwait(t)
	t.execution = execution
	r := &run{task: t, at: sr, execution: execution, orderedAt: now.Steady}
	t.runs = append(t.runs, r)
	sr.runs[t.id] = r
	sr.used = sr.used.Add(t.stage.Resources)
	t.stage.job.started = true
	s.writeTask(t)
	order := &workerclient.StartOrder{Task: t.id, Execution: execution, Specification: t.stage.job.Specification.Text, Checkpoint: t.checkpoint}
	s.effects.Orders = append(s.effects.Orders, Order{Worker: sr.ID, Start: order})
}

// startGang starts all members at once or none.
func (s *Scheduler) startGang(now Now, stage *stageRun) {
	if len(stage.waiting) < stage.left || len(stage.waiting) < stage.Count {
		return // a member's last run is not over yet
	}
	execution := uint64(0)
	for _, t := range stage.tasks {
		execution = max(execution, t.execution)
		if now.Steady.Before(t.notBefore) {
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
func (s *Scheduler) planGang(now Now, stage *stageRun) []*worker {
	if stage.SameRack {
		for _, rack := range s.racks(now) {
			if placed := s.planOn(now, stage, rack); placed != nil {
				return placed
			}
		}
		if now.Steady.Sub(stage.readyAt) < s.patience(stage) && s.fitsOneRack(stage) {
			return nil
		}
	}
	return s.planOn(now, stage, "")
}

// fitsOneRack tells whether some rack could take a whole gang if it were idle.
func (s *Scheduler) fitsOneRack(stage *stageRun) bool {
	room := map[string]int64{}
	for _, sr := range s.list {
		if sr.reachable && s.suits(stage, sr) {
			room[sr.rack] += sr.Capacity.Holds(stage.Resources)
		}
	}
	for rack, count := range room {
		if rack != "" && count >= int64(stage.Count) {
			return true
		}
	}
	return false
}

// racks lists the racks of open workers.
func (s *Scheduler) racks(now Now) []string {
	var racks []string
	for _, sr := range s.openWorkers(now) {
		if sr.rack != "" && !slices.Contains(racks, sr.rack) {
			racks = append(racks, sr.rack)
		}
	}
	return racks
}

// planOn places a gang on a rack ("" for all of them), filling the least costly workers first.
func (s *Scheduler) planOn(now Now, stage *stageRun, rack string) []*worker {
	var candidates []*worker
	for _, sr := range s.openWorkers(now) {
		if (rack == "" || sr.rack == rack) && s.admits(stage, sr, 0) {
			candidates = append(candidates, sr)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int { return cmp.Compare(s.cost(stage, a), s.cost(stage, b)) })
	var placed []*worker
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
