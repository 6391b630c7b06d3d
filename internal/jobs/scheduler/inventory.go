package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// missingLists is after how many whole lists without it an unreachable worker's life counts as over.
const missingLists = 2

// Inventory takes the service's workers as the platform lists them, all of them.
func (s *Scheduler) Inventory(now Now, instances []workerclient.Instance) {
	present := make(map[workerclient.WorkerID]bool, len(instances))
	for i := range instances {
		present[instances[i].ID] = true
		s.learnOf(now, &instances[i])
	}
	for _, sr := range slices.Clone(s.list) {
		if present[sr.ID] {
			sr.missingLists = 0
			continue
		}
		sr.missingLists++
		if !sr.reachable && sr.missingLists >= missingLists {
			s.Gone(now, sr.ID)
		}
	}
	s.pruneOperatorDrains()
	s.unplaced = true
}

// Found takes some of the service's workers, while the platform's list has not been read whole yet.
func (s *Scheduler) Found(now Now, instances []workerclient.Instance) {
	for i := range instances {
		s.learnOf(now, &instances[i])
	}
	s.unplaced = true
}

// Knows tells whether a worker's life is going on as far as is known.
func (s *Scheduler) Knows(id workerclient.WorkerID) bool { return s.workers[id] != nil }

// Over tells whether a worker's life is known to be over although the platform may still list it.
func (s *Scheduler) Over(id workerclient.WorkerID) bool { return s.gone[id] }

func (s *Scheduler) learnOf(now Now, instance *workerclient.Instance) {
	if s.gone[instance.ID] {
		return
	}
	sr := s.workers[instance.ID]
	if sr == nil {
		sr = s.addWorker(instance.ID)
	}
	drains := instance.Draining && !sr.Draining
	sr.Instance = *instance
	sr.listed = true
	sr.rack = rackOf(instance)
	if drains {
		s.drain(now, sr)
	}
}

func (s *Scheduler) addWorker(id workerclient.WorkerID) *worker {
	sr := &worker{Instance: workerclient.Instance{ID: id}, runs: map[job.TaskID]*run{}, window: windowStart}
	s.workers[id] = sr
	at, _ := slices.BinarySearchFunc(s.list, sr, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	s.list = slices.Insert(s.list, at, sr)
	return sr
}

// drain moves away what cannot end before the worker may leave.
func (s *Scheduler) drain(now Now, sr *worker) {
	stays := float64(sr.RemainingMS)
	if sr.RemainingMS == 0 {
		stays = float64(s.settings.DrainTime.Milliseconds())
	}
	for _, r := range sr.sortedRuns() {
		if r.task.stage.LongRunning || s.remainingMS(now, r) > stays {
			s.stop(r)
		}
	}
	s.rebind(now, sr)
}

func compareTasks(a, b job.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Repetition, b.Repetition), cmp.Compare(a.Stage, b.Stage), cmp.Compare(a.Index, b.Index))
}
