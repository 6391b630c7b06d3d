package scheduler

import (
	"cmp"
	"slices"

	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
	"puffinlink.example/puffinlink/internal/jobs/workerclient"
)

// The reports below read the state and change nothing, but for the order of the stages that wait, which is brought up
// to date.

const (
	fewWorkers  = 8   // workers that a report names for one cause
	mostWaiting = 40  // stages that one report explains
	mostDetails = 500 // stages, runs and failures that one report lists, each
)

// Summary counts jobs and workers.
func (s *Scheduler) Summary() jobreport.Summary {
	summary := jobreport.Summary{Ended: len(s.ended), Workers: len(s.list)}
	for _, j := range s.jobs {
		if j.started {
			summary.Running++
		} else {
			summary.Queued++
		}
	}
	for _, stage := range s.stages {
		summary.WaitingTasks += len(stage.waiting)
	}
	for _, sr := range s.list {
		summary.Runs += len(sr.runs)
		if sr.reachable {
			summary.ReachableWorkers++
		}
	}
	return summary
}

// Workers reports all known workers by ID.
func (s *Scheduler) Workers(now Now) []jobreport.Worker {
	reports := make([]jobreport.Worker, 0, len(s.list))
	for _, sr := range s.list {
		reports = append(reports, s.reportWorker(now, sr))
	}
	return reports
}

// Worker reports one worker.
func (s *Scheduler) Worker(now Now, id workerclient.WorkerID) (report jobreport.Worker, known bool) {
	sr := s.workers[id]
	if sr == nil {
		return report, false
	}
	return s.reportWorker(now, sr), true
}

func (s *Scheduler) reportWorker(now Now, sr *worker) jobreport.Worker {
	return jobreport.Worker{
		ID: string(sr.ID), Service: sr.Service, Address: sr.Address, Zone: sr.Zone, Version: sr.Version,
		Rack: sr.rack, Labels: sr.Labels,
		State: s.workerState(now, sr), Reachable: sr.reachable,
		Draining: sr.Draining, OperatorDraining: s.operatorDrains.has(sr.ID), DrainVersion: s.DrainVersion(sr.ID), RemainingMS: sr.RemainingMS,
		Window: int(sr.window), LatencyMS: sr.latency, FaultShare: sr.faults,
		Runs: len(sr.runs), WaitingTasks: sr.held, UnwantedRuns: len(sr.orphans),
		Used: sr.used, Free: sr.free(), Capacity: sr.Capacity, MissingLists: sr.missingLists,
	}
}

func (s *Scheduler) workerState(now Now, sr *worker) jobreport.WorkerState {
	switch {
	case !sr.reachable:
		return jobreport.WorkerUnreachable
	case sr.Draining:
		return jobreport.WorkerDraining
	case s.operatorDrains.has(sr.ID):
		return jobreport.WorkerOperatorDraining
	case sr.fencedAt.IsZero():
		return jobreport.WorkerNotFenced
	case s.resting(now, sr):
		return jobreport.WorkerResting
	}
	return jobreport.WorkerReady
}

func (s *Scheduler) resting(now Now, sr *worker) bool {
	return now.Steady.Before(sr.restUntil) || now.Steady.Before(sr.fullUntil)
}

// Jobs lists the newest jobs of a state, or of all states if it is empty: first those that have not ended, the latest
// arrival first, then those that have, the latest end first. Total counts all that match.
func (s *Scheduler) Jobs(state job.State, limit int) (jobs []jobreport.Job, total int) {
	var live []*jobState
	for _, j := range s.jobs {
		if current, _ := s.Status(j.id); state == "" || current == state {
			live = append(live, j)
		}
	}
	var ended []job.ID
	for id, record := range s.ended {
		if state == "" || record.State == state {
			ended = append(ended, id)
		}
	}
	slices.SortFunc(live, func(a, b *jobState) int { return cmp.Compare(b.Arrival, a.Arrival) })
	slices.SortFunc(ended, func(a, b job.ID) int {
		return cmp.Or(cmp.Compare(s.ended[b].EndedMS, s.ended[a].EndedMS), cmp.Compare(a, b))
	})
	for _, j := range live[:min(limit, len(live))] {
		jobs = append(jobs, s.reportJob(j))
	}
	for _, id := range ended[:min(limit-len(jobs), len(ended))] {
		jobs = append(jobs, s.reportEnded(id))
	}
	return jobs, len(live) + len(ended)
}

func (s *Scheduler) reportJob(j *jobState) jobreport.Job {
	state, _ := s.Status(j.id)
	report := jobreport.Job{
		ID: j.id, Service: j.Queue.Service, Route: j.Queue.Route, Priority: j.Queue.Priority, State: state, Arrival: j.Arrival,
	}
	for _, r := range j.times {
		if r == nil {
			continue
		}
		for _, stage := range r.stages {
			report.Tasks.Add(stage.counts())
		}
	}
	return report
}

func (s *Scheduler) reportEnded(id job.ID) jobreport.Job {
	return jobreport.Job{ID: id, State: s.ended[id].State, EndedMS: s.ended[id].EndedMS}
}

func (stage *stageRun) counts() jobreport.TaskCounts {
	if stage.tasks == nil {
		return jobreport.TaskCounts{Blocked: stage.Count}
	}
	counts := jobreport.TaskCounts{}
	for _, t := range stage.tasks {
		switch {
		case t.done:
			counts.Done++
		case len(t.runs) > 0:
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
		Repetitions: j.Specification.Times(), NextDueMS: j.nextDue,
	}
	for _, r := range j.times {
		if r == nil {
			report.CompleteRepetitions++
			continue
		}
		for _, stage := range r.stages {
			addStage(now, &report, stage)
		}
	}
	return report, true
}

func addStage(now Now, report *jobreport.JobDetail, stage *stageRun) {
	if len(report.Stages) >= mostDetails {
		report.Truncated = true
		return
	}
	report.Stages = append(report.Stages, jobreport.Stage{
		Repetition: stage.repetition.number, Stage: stage.number, Gang: stage.GangScheduled,
		Request: stage.Resources, Tasks: stage.counts(),
	})
	for _, t := range stage.tasks {
		if len(t.failed) > 0 && !full(len(report.Failures), report) {
			report.Failures = append(report.Failures, jobreport.Failure{Task: t.id.String(), Attempts: slices.Clone(t.failed)})
		}
		for _, r := range t.runs {
			if !full(len(report.Runs), report) {
				report.Runs = append(report.Runs, reportRun(now, r))
			}
		}
	}
}

func full(listed int, report *jobreport.JobDetail) bool {
	if listed < mostDetails {
		return false
	}
	report.Truncated = true
	return true
}

func reportRun(now Now, r *run) jobreport.Run {
	return jobreport.Run{
		Task: r.task.id.String(), Execution: r.execution, Worker: string(r.at.ID), AgeMS: now.Steady.Sub(r.orderedAt).Milliseconds(),
		Confirmed: r.seen || !r.answeredAt.IsZero(), Stopping: r.stopping, Percent: r.percent,
	}
}
