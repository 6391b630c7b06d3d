package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	control "puffinlink.example/puffinlink/internal/controlplane/operations"
	"puffinlink.example/puffinlink/internal/jobs/job"
	"puffinlink.example/puffinlink/internal/jobs/jobreport"
)

// printTable prints rows of columns on standard output; the first row has the names.
func printTable(rows [][]string) { writeTable(stdout, rows) }

// writeTable writes rows in aligned columns.
func writeTable(out io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	writer.Flush()
}

func printStatus(s *control.Status) {
	fmt.Fprintf(stdout, "mixer %s (%s, zone %s): up %v, %s, contact to a majority: %s\n", s.Node.Name, s.Node.Address, orDash(s.Node.Zone),
		milliseconds(s.UptimeMS).Round(time.Second), replicaRole(s), yesNo(s.InContact))
	fmt.Fprintf(stdout, "configuration: version %d\n", s.ConfigurationVersion)
	fmt.Fprintf(stdout, "view of the replicas: version %d, %s\n", s.View.Version, strings.Join(s.View.Members, " "))
	fmt.Fprintf(stdout, "agents: %s\n\n", orDash(strings.Join(s.Agents, " ")))
	rows := [][]string{{"MEMBER", "ALIVE", "VOTES", "HEARD"}}
	for _, member := range s.Members {
		heard := "never"
		if member.Contacted {
			heard = milliseconds(member.SinceContactMS).String() + " ago"
		}
		rows = append(rows, []string{member.Address, yesNo(member.Alive), yesNo(member.Ready), heard})
	}
	printTable(rows)
	fmt.Fprintln(stdout)
	rows = [][]string{{"SERVICE", "LEADER", "EPOCH", "QUEUED", "RUNNING", "ENDED", "WAITING-TASKS", "RUNS", "SEARCHERS"}}
	for _, group := range s.Groups {
		row := []string{group.Service, orDash(group.Leader), fmt.Sprint(group.Term)}
		if group.Summary == nil {
			rows = append(rows, append(row, "("+group.Error+")"))
			continue
		}
		rows = append(rows, append(row, fmt.Sprint(group.Summary.Queued), fmt.Sprint(group.Summary.Running), fmt.Sprint(group.Summary.Ended),
			fmt.Sprint(group.Summary.WaitingTasks), fmt.Sprint(group.Summary.Attempts),
			fmt.Sprintf("%d of %d answer", group.Summary.ReachableWorkers, group.Summary.Workers)))
	}
	printTable(rows)
}

// replicaRole is the role of the responding node among the replicas.
func replicaRole(s *control.Status) string {
	switch {
	case s.View.Version > 0 && !slices.Contains(s.View.Members, s.Node.Address):
		return "stands by as no member of the view"
	case !s.Rebuilt:
		return "its disk is being rebuilt"
	}
	return "its disk is complete"
}

func printWorkers(s *control.WorkerList) {
	rows := [][]string{{"SEARCHER", "SERVICE", "STATE", "ZONE", "RACK", "RUNS", "WINDOW", "LATENCY", "FAULTS", "FREE", "CAPACITY"}}
	for _, one := range s.Workers {
		rows = append(rows, []string{one.ID, one.Service, string(one.State), orDash(one.Zone), orDash(one.Rack), fmt.Sprint(one.Attempts), fmt.Sprint(one.Window),
			choose(one.LatencyMS == 0, "-", fmt.Sprintf("%.0fms", one.LatencyMS)), fmt.Sprintf("%.0f%%", 100*one.FailureRate), resources(one.Free), resources(one.Capacity)})
	}
	printTable(rows)
	printUnanswered(s.Unanswered)
}

func printJobs(jobs *control.JobList) {
	rows := [][]string{{"JOB", "SERVICE", "ROUTE", "PRIORITY", "STATE", "BLOCKED", "WAITING", "RUNNING", "DONE"}}
	for _, one := range jobs.Jobs {
		row := []string{string(one.ID), orDash(one.Service), orDash(one.Route), fmt.Sprint(one.Priority), string(one.State)}
		if one.State.Final() {
			row[3] = "-"
			rows = append(rows, append(row, "-", "-", "-", "-"))
			continue
		}
		rows = append(rows, append(row, counts(one.Tasks)...))
	}
	printTable(rows)
	if len(jobs.Jobs) < jobs.Total {
		fmt.Fprintf(stdout, "%d of %d; raise --limit for more\n", len(jobs.Jobs), jobs.Total)
	}
	printUnanswered(jobs.Unanswered)
}

func printJob(j *jobreport.JobDetail) {
	fmt.Fprintf(stdout, "job %s of service %s: %s\n", j.ID, j.Service, j.State)
	if j.State.Final() {
		fmt.Fprintf(stdout, "ended: %s\n", formatUnixMilliseconds(j.EndedMS))
		return
	}
	fmt.Fprintf(stdout, "route %s, priority %d, at most %d attempts a task; repetitions complete: %d of %d\n", j.Route, j.Priority, j.MaxAttempts, j.CompleteRepetitions, j.Repetitions)
	if j.NextDueMS != 0 {
		fmt.Fprintf(stdout, "next repetition: %s\n", formatUnixMilliseconds(j.NextDueMS))
	}
	fmt.Fprintln(stdout)
	rows := [][]string{{"REPETITION", "STAGE", "KIND", "REQUEST", "BLOCKED", "WAITING", "RUNNING", "DONE"}}
	for _, stage := range j.Stages {
		row := []string{fmt.Sprint(stage.Repetition), fmt.Sprint(stage.Stage), choose(stage.Gang, "gang", "tasks"), resources(stage.Request)}
		rows = append(rows, append(row, counts(stage.Tasks)...))
	}
	printTable(rows)
	if len(j.Attempts) > 0 {
		fmt.Fprintln(stdout)
		printAttempts(j.Attempts)
	}
	for _, failure := range j.Failures {
		fmt.Fprintf(stdout, "task %s has failed %d times (runs %v)\n", failure.Task, len(failure.Attempts), failure.Attempts)
	}
	if j.Truncated {
		fmt.Fprintln(stdout, "the lists are cut off")
	}
}

func printAttempts(runs []jobreport.Attempt) {
	rows := [][]string{{"TASK", "RUN", "SEARCHER", "AGE", "PROGRESS", "STATE"}}
	for _, run := range runs {
		state := choose(run.Confirmed, "running", "ordered")
		if run.Stopping {
			state = "stopping"
		}
		rows = append(rows, []string{run.Task, fmt.Sprint(run.Number), run.Worker, milliseconds(run.AgeMS).String(), fmt.Sprintf("%d%%", run.Percent), state})
	}
	printTable(rows)
}

func printUnanswered(list []control.UnansweredService) {
	for _, one := range list {
		fmt.Fprintf(stderr, "service %s is missing above: %s\n", one.Service, one.Error)
	}
}

func counts(c jobreport.TaskCounts) []string {
	return []string{fmt.Sprint(c.Blocked), fmt.Sprint(c.Waiting), fmt.Sprint(c.Running), fmt.Sprint(c.Done)}
}

// resources prints cores, memory and accelerators.
func resources(r job.Resources) string {
	text := fmt.Sprintf("%.1f cores %d MB", float64(r.Processors)/1000, r.MemoryMB)
	if r.Accelerators != 0 {
		text += fmt.Sprintf(" %d acc", r.Accelerators)
	}
	return text
}

func milliseconds(count int64) time.Duration { return time.Duration(count) * time.Millisecond }

func formatUnixMilliseconds(milliseconds int64) string {
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}

func orDash(text string) string { return choose(text == "", "-", text) }

func yesNo(yes bool) string { return choose(yes, "yes", "no") }

func choose(yes bool, this, other string) string {
	if yes {
		return this
	}
	return other
}
