package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// Reports to operators do not change the state, with one exception: Explain updates the order of the queue.

const (
	maxNamedWorkers    = 8   // workers that an explanation lists for one cause
	maxExplainedStages = 40  // stages that one explanation contains
	maxReportDetails   = 500 // entries in each of a job report's lists of stages, attempts and failures
)

// Summary returns the numbers of jobs, tasks, attempts and workers.
func (s *Scheduler) Summary() jobreport.Summary {
	summary := jobreport.Summary{Ended: len(s.endedJobs), Workers: len(s.sortedWorkers)}
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

// Workers returns the reports of all known workers, sorted by ID.
func (s *Scheduler) Workers(now Now) []jobreport.Worker {
	reports := make([]jobreport.Worker, 0, len(s.sortedWorkers))
	for _, worker := range s.sortedWorkers {
		reports = append(reports, s.workerReport(now, worker))
	}
	return reports
}

// Worker returns the report of one worker, and reports whether the worker is known.
func (s *Scheduler) Worker(now Now, id workerclient.WorkerID) (report jobreport.Worker, known bool) {
	worker := s.workers[id]
	if worker == nil {
		return report, false
	}
	return s.workerReport(now, worker), true
}

func (s *Scheduler) workerReport(now Now, worker *workerState) jobreport.Worker {
	return jobreport.Worker{
		ID: string(worker.ID), Service: worker.Service, Address: worker.Address, Zone: worker.Zone, Version: worker.Version,
		Rack: worker.rack, Labels: worker.Labels,
		State: s.workerReportState(now, worker), Reachable: worker.reachable,
		Draining: worker.Draining, OperatorDraining: s.operatorDrains.isDraining(worker.ID), DrainVersion: s.DrainVersion(worker.ID), RemainingMS: worker.RemainingMS,
		Window: int(worker.window), LatencyMS: worker.latencyMS, FailureRate: worker.failureRate,
		Attempts: len(worker.attempts), WaitingTasks: worker.boundTasks, Orphans: len(worker.orphans),
		Used: worker.used, Free: worker.freeCapacity(), Capacity: worker.Capacity, MissedInventories: worker.missedInventories,
	}
}

// workerReportState returns the first state that applies to a worker.
func (s *Scheduler) workerReportState(now Now, worker *workerState) jobreport.WorkerState {
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

// Jobs returns up to limit jobs that are in the given state, or in any state if it is empty. Jobs that have not ended come
// first, sorted by arrival, newest first. They are followed by ended jobs, sorted by end time, newest first. total is the
// number of all matching jobs.
func (s *Scheduler) Jobs(state job.State, limit int) (jobs []jobreport.Job, total int) {
	var active []*jobState
	for _, j := range s.jobs {
		if current, _ := s.Status(j.id); state == "" || current == state {
			active = append(active, j)
		}
	}
	var ended []job.ID
	for id, record := range s.endedJobs {
		if state == "" || record.State == state {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(active, func(a, b *jobState) int { return cmp.Compare(b.Arrival, a.Arrival) })
	slices.SortFunc(ended, func(a, b job.ID) int {
		return cmp.Or(cmp.Compare(s.endedJobs[b].EndedMS, s.endedJobs[a].EndedMS), cmp.Compare(a, b))
	})
	for _, j := range active[:min(limit, len(active))] {
		jobs = append(jobs, s.jobReport(j))
	}
	for _, id := range ended[:min(limit-len(jobs), len(ended))] {
		jobs = append(jobs, s.endedJobReport(id))
	}
	return jobs, len(active) + len(ended)
}

func (s *Scheduler) jobReport(j *jobState) jobreport.Job {
	state, _ := s.Status(j.id)
	report := jobreport.Job{
		ID: j.id, Service: j.Queue.Service, Route: j.Queue.Route, Priority: j.Queue.Priority, State: state, Arrival: j.Arrival,
	}
	for _, repetition := range j.repetitions {
		if repetition == nil {
			continue
		}
		for _, stage := range repetition.stages {
			report.Tasks.Add(stage.taskCounts())
		}
	}
	return report
}

func (s *Scheduler) endedJobReport(id job.ID) jobreport.Job {
	return jobreport.Job{ID: id, State: s.endedJobs[id].State, EndedMS: s.endedJobs[id].EndedMS}
}

func (stage *stageState) taskCounts() jobreport.TaskCounts {
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

// Job returns the detailed report of one job, and reports whether the job is known.
func (s *Scheduler) Job(now Now, id job.ID) (report jobreport.JobDetail, known bool) {
	j := s.jobs[id]
	if j == nil {
		if _, known = s.endedJobs[id]; known {
			report.Job = s.endedJobReport(id)
		}
		return report, known
	}
	report = jobreport.JobDetail{
		Job: s.jobReport(j), Specification: j.Specification.Text, MaxAttempts: j.Queue.MaxAttempts,
		Repetitions: j.Specification.RepetitionCount(), NextDueMS: j.nextDueMS,
	}
	for _, repetition := range j.repetitions {
		if repetition == nil {
			report.CompleteRepetitions++
			continue
		}
		for _, stage := range repetition.stages {
			addStageReport(now, &report, stage)
		}
	}
	return report, true
}

// addStageReport adds a stage with its attempts and failures to a report, up to the limits of each list.
func addStageReport(now Now, report *jobreport.JobDetail, stage *stageState) {
	if len(report.Stages) >= maxReportDetails {
		report.Truncated = true
		return
	}
	report.Stages = append(report.Stages, jobreport.Stage{
		Repetition: stage.repetition.number, Stage: stage.number, Gang: stage.GangScheduled,
		Request: stage.Resources, Tasks: stage.taskCounts(),
	})
	for _, task := range stage.tasks {
		if len(task.failedAttempts) > 0 && !truncateAtLimit(len(report.Failures), report) {
			report.Failures = append(report.Failures, jobreport.Failure{Task: task.id.String(), Attempts: slices.Clone(task.failedAttempts)})
		}
		for _, attempt := range task.attempts {
			if !truncateAtLimit(len(report.Attempts), report) {
				report.Attempts = append(report.Attempts, attemptReport(now, attempt))
			}
		}
	}
}

// truncateAtLimit reports whether a list with the given number of entries is full. If it is, truncateAtLimit marks the
// report as truncated.
func truncateAtLimit(listed int, report *jobreport.JobDetail) bool {
	if listed < maxReportDetails {
		return false
	}
	report.Truncated = true
	return true
}

func attemptReport(now Now, attempt *attemptState) jobreport.Attempt {
	return jobreport.Attempt{
		Task: attempt.task.id.String(), Number: attempt.number, Worker: string(attempt.worker.ID), AgeMS: now.Monotonic.Sub(attempt.assignedAt).Milliseconds(),
		Confirmed: attempt.reported || !attempt.confirmedAt.IsZero(), Stopping: attempt.stopping, Percent: attempt.percent,
	}
}
