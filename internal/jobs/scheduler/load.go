package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// Load is a scheduler's load at one moment, for the log.
type Load struct {
	Jobs        int           `json:"jobs"`      // that have not ended
	Waiting     []int         `json:"waiting"`   // tasks that wait for a start, by priority
	Gangs       int           `json:"gangs"`     // gangs that wait for a start
	Running     int           `json:"running"`   // attempts that may be under way
	Stopping    int           `json:"stopping"`  // of those, the ones that are being stopped
	Workers     int           `json:"searchers"` // that take starts
	Unreachable int           `json:"unreachable"`
	Capacity    job.Resources `json:"capacity"` // of workers that take starts
	Used        job.Resources `json:"used"`
	Windows     int           `json:"windows"` // workers whose window is full
}

// loadPriorities is how many priorities a Load tells apart; the rest count as the last.
const loadPriorities = 4

// CurrentLoad is the load at present.
func (s *Scheduler) CurrentLoad(now Now) Load {
	load := Load{Jobs: len(s.jobs), Waiting: make([]int, loadPriorities)}
	for _, stage := range s.waitingStages {
		priority := max(0, min(stage.job.Queue.Priority, loadPriorities-1))
		load.Waiting[priority] += len(stage.waiting)
		if stage.GangScheduled && len(stage.waiting) > 0 {
			load.Gangs++
		}
	}
	for _, worker := range s.sortedWorkers {
		load.add(s, now, worker)
	}
	return load
}

// add counts one worker.
func (load *Load) add(s *Scheduler, now Now, worker *workerState) {
	load.Running += len(worker.attempts)
	for _, attempt := range worker.attempts {
		if attempt.stopping {
			load.Stopping++
		}
	}
	if !worker.reachable {
		load.Unreachable++
		return
	}
	if worker.Draining {
		return
	}
	load.Capacity = load.Capacity.Add(worker.Capacity)
	load.Used = load.Used.Add(worker.used)
	if s.isOpen(now, worker) {
		load.Workers++
	}
	if float64(len(worker.attempts)) >= worker.window {
		load.Windows++
	}
}
