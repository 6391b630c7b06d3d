package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Reports to operators read the state and change nothing, but for the order of the queue, which Why brings up to date.

const (
	maxNamedWorkers    = 8   // that a report names for one cause
	maxExplainedStages = 40  // that one report explains
	maxReportDetails   = 500 // stages, attempts and failures that one report lists, each
)

// Summary counts jobs, tasks, attempts and workers.
func (s *Scheduler) Summary() jobreport.Summary {
	summary := jobreport.Summary{Ended: len(s.ended), Workers: len(s.sortedWorkers)}
	for _, j := range s.jobs {
		if j.started {
			summary.Running++
		} else {
			summary.Queued++
		}
	}
	for _, stage := range s.waitingStages {
		summary.WaitingTasks += len(stage.waiting)
	}
	for _, worker := range s.sortedWorkers {
		summary.Attempts += len(worker.attempts)
		if worker.reachable {
			summary.ReachableWorkers++
		}
	}
	return summary
}

// Workers reports all known workers by ID.
func (s *Scheduler) Workers(now Now) []jobreport.Worker {
	reports := make([]jobreport.Worker, 0, len(s.sortedWorkers))
	for _, worker := range s.sortedWorkers {
		reports = append(reports, s.reportWorker(now, worker))
	}
	return reports
}

// Worker reports one worker.
func (s *Scheduler) Worker(now Now, id workerclient.WorkerID) (report jobreport.Worker, known bool) {
	worker := s.workers[id]
	if worker == nil {
		return report, false
	}
	return s.reportWorker(now, worker), true
}

func (s *Scheduler) reportWorker(now Now, worker *workerState) jobreport.Worker {
	return jobreport.Worker{
		ID: string(worker.ID), Service: worker.Service, Address: worker.Address, Zone: worker.Zone, Version: worker.Version,
		Rack: worker.rack, Labels: worker.Labels,
		State: s.reportedState(now, worker), Reachable: worker.reachable,
		Draining: worker.Draining, OperatorDraining: s.operatorDrains.isDraining(worker.ID), DrainVersion: s.DrainVersion(worker.ID), RemainingMS: worker.RemainingMS,
		Window: int(worker.window), LatencyMS: worker.latencyMS, FailureRate: worker.failureRate,
		Attempts: len(worker.attempts), WaitingTasks: worker.boundTasks, Orphans: len(worker.orphans),
		Used: worker.used, Free: worker.freeCapacity(), Capacity: worker.Capacity, MissedInventories: worker.missedInventories,
	}
}

// reportedState is the first state that applies to a worker.
func (s *Scheduler) reportedState(now Now, worker *workerState) jobreport.WorkerState {
	switch {
	case !worker.reachable:
		return jobreport.WorkerUnreachable
	case worker.Draining:
		return jobreport.WorkerDraining
	case s.operatorDrains.isDraining(worker.ID):
		return jobreport.WorkerOperatorDraining
	case worker.fencedAt.IsZero():
		return jobreport.WorkerNotFenced
	case worker.isBackingOff(now):
		return jobreport.WorkerBackoff
	}
	return jobreport.WorkerReady
}

// Jobs lists the newest jobs of a state, or of all states if it is empty: first those that have not ended, the latest
// arrival first, then those that have, the latest end first. Total counts all that match.
func (s *Scheduler) Jobs(state job.State, limit int) (jobs []jobreport.Job, total int) {
	var active []*jobState
	for _, j := range s.jobs {
		if current, _ := s.Status(j.id); state == "" || current == state {
			active = append(active, j)
		}
	}
	var ended []job.ID
	for id, record := range s.ended {
		if state == "" || record.State == state {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(active, func(a, b *jobState) int { return cmp.Compare(b.Arrival, a.Arrival) })
	slices.SortFunc(ended, func(a, b job.ID) int {
		return cmp.Or(cmp.Compare(s.ended[b].EndedMS, s.ended[a].EndedMS), cmp.Compare(a, b))
	})
	for _, j := range active[:min(limit, len(active))] {
		jobs = append(jobs, s.reportJob(j))
	}
	for _, id := range ended[:min(limit-len(jobs), len(ended))] {
		jobs = append(jobs, s.reportEnded(id))
	}
	return jobs, len(active) + len(ended)
}

func (s *Scheduler) reportJob(j *jobState) jobreport.Job {
	state, _ := s.Status(j.id)
	report := jobreport.Job{
		ID: j.id, Service: j.Queue.Service, Route: j.Queue.Route, Priority: j.Queue.Priority, State: state, Arrival: j.Arrival,
	}
	for _, repetition := range j.repetitions {
		if repetition == nil {
			continue
		}
		for _, stage := range repetition.stages {
			report.Tasks.Add(stage.counts())
		}
	}
	return report
}

func (s *Scheduler) reportEnded(id job.ID) jobreport.Job {
	return jobreport.Job{ID: id, State: s.ended[id].State, EndedMS: s.ended[id].EndedMS}
}

func (stage *stageState) counts() jobreport.TaskCounts {
	if stage.tasks == nil {
		return jobreport.TaskCounts{Blocked: stage.Count}
	}
	counts := jobreport.TaskCounts{}
	for _, task := range stage.tasks {
		switch {
		case task.done:
			counts.Done++
		case len(task.attempts) > 0:
			counts.Running++
		default:
			counts.Waiting++
		}
	}
	return counts
}

// Job reports one job.
func (s *Scheduler) Job(now Now, id job.ID) (report jobreport.JobDetail, known bool) {
	j := s.jobs[id]
	if j == nil {
		if _, known = s.ended[id]; known {
			report.Job = s.reportEnded(id)
		}
		return report, known
	}
	report = jobreport.JobDetail{
		Job: s.reportJob(j), Specification: j.Specification.Text, MaxAttempts: j.Queue.MaxAttempts,
		Repetitions: j.Specification.RepetitionCount(), NextDueMS: j.nextDueMS,
	}
	for _, repetition := range j.repetitions {
		if repetition == nil {
			report.CompleteRepetitions++
			continue
		}
		for _, stage := range repetition.stages {
			addStage(now, &report, stage)
		}
	}
	return report, true
}

// addStage adds a stage, with its attempts and failures, as far as the limits allow.
func addStage(now Now, report *jobreport.JobDetail, stage *stageState) {
	if len(report.Stages) >= maxReportDetails {
		report.Truncated = true
		return
	}
	report.Stages = append(report.Stages, jobreport.Stage{
		Repetition: stage.repetition.number, Stage: stage.number, Gang: stage.GangScheduled,
		Request: stage.Resources, Tasks: stage.counts(),
	})
	for _, task := range stage.tasks {
		if len(task.failedAttempts) > 0 && !atLimit(len(report.Failures), report) {
			report.Failures = append(report.Failures, jobreport.Failure{Task: task.id.String(), Attempts: slices.Clone(task.failedAttempts)})
		}
		for _, attempt := range task.attempts {
			if !atLimit(len(report.Attempts), report) {
				report.Attempts = append(report.Attempts, reportRun(now, attempt))
			}
		}
	}
}

// atLimit tells whether a list of a report is full, and marks the report as truncated if so.
func atLimit(listed int, report *jobreport.JobDetail) bool {
	if listed < maxReportDetails {
		return false
	}
	report.Truncated = true
	return true
}

func reportRun(now Now, attempt *attemptState) jobreport.Attempt {
	return jobreport.Attempt{
		Task: attempt.task.id.String(), Number: attempt.number, Worker: string(attempt.worker.ID), AgeMS: now.Monotonic.Sub(attempt.assignedAt).Milliseconds(),
		Confirmed: attempt.reported || !attempt.confirmedAt.IsZero(), Stopping: attempt.stopping, Percent: attempt.percent,
	}
}
