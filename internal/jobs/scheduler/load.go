package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// Load is a scheduler's load at one moment.
type Load struct {
	Jobs        int           `json:"jobs"`      // that have not ended
	Waiting     []int         `json:"waiting"`   // tasks whose turn has come, by priority
	Gangs       int           `json:"gangs"`     // gangs whose turn has come
	Running     int           `json:"running"`   // runs that may be under way
	Stopping    int           `json:"stopping"`  // and of those, runs that are being stopped
	Workers     int           `json:"searchers"` // that take starts
	Unreachable int           `json:"unreachable"`
	Capacity    job.Resources `json:"capacity"` // of workers that take starts
	Used        job.Resources `json:"used"`
	Windows     int           `json:"windows"` // workers that are full by their window alone
}

// summaryPriorities is how many priorities a Summary tells apart; the rest count as the last.
const summaryPriorities = 4

// CurrentLoad tells the load.
func (s *Scheduler) CurrentLoad(now Now) Load {
	summary := Load{Jobs: len(s.jobs), Waiting: make([]int, summaryPriorities)}
	for _, stage := range s.waitingStages {
		priority := max(0, min(stage.job.Queue.Priority, summaryPriorities-1))
		summary.Waiting[priority] += len(stage.waiting)
		if stage.GangScheduled && len(stage.waiting) > 0 {
			summary.Gangs++
		}
	}
	for _, worker := range s.sortedWorkers {
		summary.add(s, now, worker)
	}
	return summary
}

func (summary *Load) add(s *Scheduler, now Now, worker *workerState) {
	summary.Running += len(worker.attempts)
	for _, attempt := range worker.attempts {
		if attempt.stopping {
			summary.Stopping++
		}
	}
	if !worker.reachable {
		summary.Unreachable++
		return
	}
	if worker.Draining {
		return
	}
	summary.Capacity = summary.Capacity.Add(worker.Capacity)
	summary.Used = summary.Used.Add(worker.used)
	if s.isOpen(now, worker) {
		summary.Workers++
	}
	if float64(len(worker.attempts)) >= worker.window {
		summary.Windows++
	}
}
