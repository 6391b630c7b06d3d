package cluster

import (
	"fmt"
	"io"

	"puffinlink.example/puffinlink/internal/fakes/cluster"
	"puffinlink.example/puffinlink/internal/jobs/job"
)

// Summary counts what became of the jobs.
type Summary struct {
	Jobs          int      `json:"jobs"`          // handed in
	Accepted      int      `json:"accepted"`      // that the system has taken
	Refused       int      `json:"refused"`       // that it has not taken, in any try
	Completed     int      `json:"completed"`     // shown as completed
	Cancelled     int      `json:"cancelled"`     // shown as cancelled, which only an operator does here
	LostJobs      int      `json:"lostJobs"`      // accepted, but shown as neither at the end
	Tasks         int      `json:"tasks"`         // of accepted jobs that were not cancelled
	DoneTasks     int      `json:"doneTasks"`     // of those, with a run that ended done
	LostTasks     int      `json:"lostTasks"`     // of jobs shown as completed, without one
	DoubledTasks  int      `json:"doubledTasks"`  // with two runs at once, or a run after an end that was taken note of
	RefusedRuns   int      `json:"refusedRuns"`   // runs of jobs whose every try was refused
	Runs          int      `json:"runs"`          // started in all
	Faults        []string `json:"faults"`        // that were played
	EndedByItself []string `json:"endedByItself"` // processes that did
	Settled       bool     `json:"settled"`       // all clients got their answers in time
}

// faultsPlanned is how many faults a demo plays.
const faultsPlanned = 2

// Good tells whether nothing was lost or doubled and all faults were played.
func (s *Summary) Good() bool {
	return s.Accepted > 0 && s.Settled && s.LostJobs == 0 && s.LostTasks == 0 && s.DoubledTasks == 0 && s.RefusedRuns == 0 &&
		len(s.EndedByItself) == 0 && len(s.Faults) == faultsPlanned
}

// Print writes the summary for people.
func (s *Summary) Print(out io.Writer) {
	fmt.Fprintf(out, "jobs: %d handed in, %d accepted, %d refused, %d completed, %d cancelled, lost %d\n",
		s.Jobs, s.Accepted, s.Refused, s.Completed, s.Cancelled, s.LostJobs)
	fmt.Fprintf(out, "tasks: %d, done %d, lost %d, doubled %d; runs started %d\n", s.Tasks, s.DoneTasks, s.LostTasks, s.DoubledTasks, s.Runs)
	fmt.Fprintf(out, "faults played: %d of %d\n", len(s.Faults), faultsPlanned)
	if s.RefusedRuns > 0 {
		fmt.Fprintf(out, "runs of refused jobs: %d\n", s.RefusedRuns)
	}
	for _, name := range s.EndedByItself {
		fmt.Fprintf(out, "process ended by itself: %s\n", name)
	}
	if !s.Settled {
		fmt.Fprintln(out, "some clients got no final answer in time")
	}
}

func (d *demo) summarize(settled bool) Summary {
	summary := count(d.load.submissions(), d.cluster.Attempts())
	d.mutex.Lock()
	defer d.mutex.Unlock()
	summary.Faults = d.faults
	summary.EndedByItself = d.unexpected
	summary.Settled = settled
	return summary
}

// count compares the jobs as their clients saw them with the runs as the workers saw them.
func count(jobs []submission, records []cluster.AttemptRecord) Summary {
	summary := Summary{Jobs: len(jobs), Runs: len(records), DoubledTasks: len(duplicated(records))}
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

func (s *Summary) add(handed *submission, done map[job.TaskID]bool, runs int) {
	if handed.refused {
		s.Refused++
		s.RefusedRuns += runs
	}
	if !handed.accepted {
		return
	}
	s.Accepted++
	completed := handed.state == job.Completed
	switch {
	case completed:
		s.Completed++
	case handed.state == job.Cancelled:
		s.Cancelled++
		return
	default:
		s.LostJobs++
	}
	for number, stage := range handed.specification.Stages {
		for index := range stage.Count {
			s.Tasks++
			if done[job.TaskID{Job: handed.id, Stage: number, Index: index}] {
				s.DoneTasks++
			} else if completed {
				s.LostTasks++
			}
		}
	}
}

// duplicated finds the tasks with two runs at the same time, or with a run that started after one whose end done was taken
// note of.
func duplicated(records []cluster.AttemptRecord) map[job.TaskID]bool {
	found := map[job.TaskID]bool{}
	byTask := map[job.TaskID][]cluster.AttemptRecord{}
	for _, record := range records { // in the order of their starts
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
