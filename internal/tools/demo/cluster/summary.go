package cluster

import (
	"fmt"
	"io"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Summary counts the jobs, tasks and runs of a demo by their results.
type Summary struct {
	Jobs               int      `json:"jobs"`          // submitted
	Accepted           int      `json:"accepted"`      // accepted by the system
	Rejected           int      `json:"refused"`       // rejected in every attempt
	Completed          int      `json:"completed"`     // reported as completed
	Cancelled          int      `json:"cancelled"`     // reported as cancelled; only an operator cancels jobs of the demo
	LostJobs           int      `json:"lostJobs"`      // accepted, but reported neither as completed nor as cancelled at the end
	Tasks              int      `json:"tasks"`         // of accepted jobs that were not cancelled
	CompletedTasks     int      `json:"doneTasks"`     // of Tasks, those with a run whose outcome is done
	LostTasks          int      `json:"lostTasks"`     // tasks of completed jobs without such a run
	DuplicatedTasks    int      `json:"doubledTasks"`  // with two runs at once, or a run after an acknowledged outcome of done
	RunsOfRejectedJobs int      `json:"refusedRuns"`   // runs of jobs that were rejected in every attempt
	Runs               int      `json:"runs"`          // total number of runs started
	Faults             []string `json:"faults"`        // descriptions of the injected faults
	UnexpectedExits    []string `json:"endedByItself"` // names of processes that ended without being stopped
	AllAnswered        bool     `json:"settled"`       // every job's client finished in time
}

// plannedFaults is the number of faults that a demo injects.
const plannedFaults = 2

// Succeeded reports whether jobs were accepted, none was lost or duplicated, no process ended unexpectedly, and all faults were
// injected.
func (s *Summary) Succeeded() bool {
	return s.Accepted > 0 && s.AllAnswered && s.LostJobs == 0 && s.LostTasks == 0 && s.DuplicatedTasks == 0 && s.RunsOfRejectedJobs == 0 &&
		len(s.UnexpectedExits) == 0 && len(s.Faults) == plannedFaults
}

// Print writes the summary as text.
func (s *Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "jobs: %d handed in, %d accepted, %d refused, %d completed, %d cancelled, lost %d\n",
		s.Jobs, s.Accepted, s.Rejected, s.Completed, s.Cancelled, s.LostJobs)
	fmt.Fprintf(out, "tasks: %d, done %d, lost %d, doubled %d; runs started %d\n", s.Tasks, s.CompletedTasks, s.LostTasks, s.DuplicatedTasks, s.Runs)
	fmt.Fprintf(out, "faults played: %d of %d\n", len(s.Faults), plannedFaults)
	if s.RunsOfRejectedJobs > 0 {
		fmt.Fprintf(out, "runs of refused jobs: %d\n", s.RunsOfRejectedJobs)
	}
	for _, name := range s.UnexpectedExits {
		fmt.Fprintf(out, "process ended by itself: %s\n", name)
	}
	if !s.AllAnswered {
		fmt.Fprintln(out, "some clients got no final answer in time")
	}
}

func (d *demo) summarize(allAnswered bool) Summary {
	summary := countJobs(d.load.submissions(), d.cluster.Attempts())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	summary.Faults = d.injectedFaults
	summary.UnexpectedExits = d.unexpectedExits
	summary.AllAnswered = allAnswered
	return summary
}

// countJobs compares the jobs from their clients' side with the runs from the workers' side.
func countJobs(jobs []submission, records []cluster.AttemptRecord) Summary {
	summary := Summary{Jobs: len(jobs), Runs: len(records), DuplicatedTasks: len(duplicatedTasks(records))}
	done := map[job.TaskID]bool{}
	runs := map[job.ID]int{}
	for _, record := range records {
		runs[record.Task.Job]++
		if record.Outcome == job.OutcomeDone {
			done[record.Task] = true
		}
	}
	for i := range jobs {
		summary.add(&jobs[i], done, runs[jobs[i].id])
	}
	return summary
}

// add counts a job and its tasks. runs is the number of the job's runs.
func (s *Summary) add(submitted *submission, done map[job.TaskID]bool, runs int) {
	if submitted.rejected {
		s.Rejected++
		s.RunsOfRejectedJobs += runs
	}
	if !submitted.accepted {
		return
	}
	s.Accepted++
	completed := submitted.state == job.Completed
	switch {
	case completed:
		s.Completed++
	case submitted.state == job.Cancelled:
		s.Cancelled++
		return
	default:
		s.LostJobs++
	}
	for number, stage := range submitted.specification.Stages {
		for index := range stage.Count {
			s.Tasks++
			if done[job.TaskID{Job: submitted.id, Stage: number, Index: index}] {
				s.CompletedTasks++
			} else if completed {
				s.LostTasks++
			}
		}
	}
}

// duplicatedTasks returns the tasks with two runs at the same time, or with a run that started after another one had ended as
// done and the scheduler had acknowledged that. The records must be in the order of their starts.
func duplicatedTasks(records []cluster.AttemptRecord) map[job.TaskID]bool {
	found := map[job.TaskID]bool{}
	byTask := map[job.TaskID][]cluster.AttemptRecord{}
	for _, record := range records {
		for _, earlier := range byTask[record.Task] {
			overlaps := earlier.EndedAt.IsZero() || earlier.EndedAt.After(record.StartedAt)
			if overlaps || earlier.Outcome == job.OutcomeDone && earlier.Acknowledged {
				found[record.Task] = true
			}
		}
		byTask[record.Task] = append(byTask[record.Task], record)
	}
	return found
}
