package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// Load is a snapshot of a scheduler's load, which the leader logs.
type Load struct {
	Jobs               int           `json:"jobs"`      // jobs that have not ended
	WaitingTasks       []int         `json:"waiting"`   // tasks waiting to be started, by priority
	WaitingGangs       int           `json:"gangs"`     // gangs waiting to be started
	RunningAttempts    int           `json:"running"`   // attempts that may be running
	StoppingAttempts   int           `json:"stopping"`  // those of RunningAttempts that are being stopped
	AcceptingWorkers   int           `json:"searchers"` // workers that accept starts
	UnreachableWorkers int           `json:"unreachable"`
	Capacity           job.Resources `json:"capacity"` // of reachable workers that the platform does not drain
	Used               job.Resources `json:"used"`     // part of Capacity that attempts request
	FullWindows        int           `json:"windows"`  // workers whose attempt window is full
}

// loadPriorityCount is the number of priorities that a Load distinguishes. Tasks of higher priority numbers count as the last
// one.
const loadPriorityCount = 4

// CurrentLoad returns the load at present.
func (s *Scheduler) CurrentLoad(now Now) Load {
	load := Load{Jobs: len(s.jobs), WaitingTasks: make([]int, loadPriorityCount)}
	for _, stage := range s.waitingStages {
		priority := max(0, min(stage.job.Queue.Priority, loadPriorityCount-1))
		load.WaitingTasks[priority] += len(stage.waiting)
		if stage.GangScheduled && len(stage.waiting) > 0 {
			load.WaitingGangs++
		}
	}
	for _, worker := range s.sortedWorkers {
		load.addWorker(s, now, worker)
	}
	return load
}

// addWorker adds one worker and its attempts to the load.
func (load *Load) addWorker(s *Scheduler, now Now, worker *workerState) {
	load.RunningAttempts += len(worker.attempts)
	for _, attempt := range worker.attempts {
		if attempt.stopping {
			load.StoppingAttempts++
		}
	}
	if !worker.reachable {
		load.UnreachableWorkers++
		return
	}
	if worker.Draining {
		return
	}
	load.Capacity = load.Capacity.Add(worker.Capacity)
	load.Used = load.Used.Add(worker.used)
	switch {
	case !worker.windowAdmits(0, 1):
		load.FullWindows++
	case s.acceptsStarts(now, worker):
		load.AcceptingWorkers++
	}
}
