package scheduler

import "puffinlink.example/puffinlink/internal/jobs/job"

// Summary is a scheduler's load at one moment.
type Summary struct {
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

// Summarize tells the load.
func (s *Scheduler) Summarize(now Now) Summary {
	summary := Summary{Jobs: len(s.jobs), Waiting: make([]int, summaryPriorities)}
	for _, stage := range s.stages {
		priority := max(0, min(stage.job.Queue.Priority, summaryPriorities-1))
		summary.Waiting[priority] += len(stage.waiting)
		if stage.GangScheduled && len(stage.waiting) > 0 {
			summary.Gangs++
		}
	}
	for _, sr := range s.list {
		summary.add(s, now, sr)
	}
	return summary
}

func (summary *Summary) add(s *Scheduler, now Now, sr *worker) {
	summary.Running += len(sr.runs)
	for _, r := range sr.runs {
		if r.stopping {
			summary.Stopping++
		}
	}
	if !sr.reachable {
		summary.Unreachable++
		return
	}
	if sr.Draining {
		return
	}
	summary.Capacity = summary.Capacity.Add(sr.Capacity)
	summary.Used = summary.Used.Add(sr.used)
	if s.isOpen(now, sr) {
		summary.Workers++
	}
	if float64(len(sr.runs)) >= sr.window {
		summary.Windows++
	}
}
