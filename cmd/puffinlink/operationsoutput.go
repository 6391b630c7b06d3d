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

// printTable prints rows in aligned columns on standard output. The first row contains the column names.
func printTable(rows [][]string) { writeTable(stdout, rows) }

// writeTable writes rows in aligned columns.
func writeTable(out io.Writer, rows [][]string) {
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	writer.Flush()
}

func printStatus(status *control.Status) {
	fmt.Fprintf(stdout, "mixer %s (%s, zone %s): up %v, %s, contact to a majority: %s\n", status.Node.Name, status.Node.Address, orDash(status.Node.Zone),
		millisecondsToDuration(status.UptimeMS).Round(time.Second), replicaRole(status), yesNo(status.InContact))
	fmt.Fprintf(stdout, "configuration: version %d\n", status.ConfigurationVersion)
	fmt.Fprintf(stdout, "view of the replicas: version %d, %s\n", status.View.Version, strings.Join(status.View.Members, " "))
	fmt.Fprintf(stdout, "agents: %s\n\n", orDash(strings.Join(status.Agents, " ")))
	rows := [][]string{{"MEMBER", "ALIVE", "VOTES", "HEARD"}}
	for _, member := range status.Members {
		lastContact := "never"
		if member.Contacted {
			lastContact = millisecondsToDuration(member.SinceContactMS).String() + " ago"
		}
		rows = append(rows, []string{member.Address, yesNo(member.Alive), yesNo(member.Ready), lastContact})
	}
	printTable(rows)
	fmt.Fprintln(stdout)
	rows = [][]string{{"SERVICE", "LEADER", "EPOCH", "QUEUED", "RUNNING", "ENDED", "WAITING-TASKS", "RUNS", "SEARCHERS"}}
	for _, group := range status.Groups {
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

// replicaRole describes the state of the responding node as a replica of the control state.
func replicaRole(status *control.Status) string {
	switch {
	case status.View.Version > 0 && !slices.Contains(status.View.Members, status.Node.Address):
		return "stands by as no member of the view"
	case !status.Rebuilt:
		return "its disk is being rebuilt"
	}
	return "its disk is complete"
}

func printWorkers(workers *control.WorkerList) {
	rows := [][]string{{"SEARCHER", "SERVICE", "STATE", "ZONE", "RACK", "RUNS", "WINDOW", "LATENCY", "FAULTS", "FREE", "CAPACITY"}}
	for _, worker := range workers.Workers {
		rows = append(rows, []string{worker.ID, worker.Service, string(worker.State), orDash(worker.Zone), orDash(worker.Rack), fmt.Sprint(worker.Attempts), fmt.Sprint(worker.Window),
			choose(worker.LatencyMS == 0, "-", fmt.Sprintf("%.0fms", worker.LatencyMS)), fmt.Sprintf("%.0f%%", 100*worker.FailureRate), formatResources(worker.Free), formatResources(worker.Capacity)})
	}
	printTable(rows)
	printUnanswered(workers.Unanswered)
}

func printJobs(jobs *control.JobList) {
	rows := [][]string{{"JOB", "SERVICE", "ROUTE", "PRIORITY", "STATE", "BLOCKED", "WAITING", "RUNNING", "DONE"}}
	for _, summary := range jobs.Jobs {
		row := []string{string(summary.ID), orDash(summary.Service), orDash(summary.Route), fmt.Sprint(summary.Priority), string(summary.State)}
		if summary.State.Final() {
			row[3] = "-"
			rows = append(rows, append(row, "-", "-", "-", "-"))
			continue
		}
		rows = append(rows, append(row, taskCountColumns(summary.Tasks)...))
	}
	printTable(rows)
	if len(jobs.Jobs) < jobs.Total {
		fmt.Fprintf(stdout, "%d of %d; raise --limit for more\n", len(jobs.Jobs), jobs.Total)
	}
	printUnanswered(jobs.Unanswered)
}

func printJob(detail *jobreport.JobDetail) {
	fmt.Fprintf(stdout, "job %s of service %s: %s\n", detail.ID, detail.Service, detail.State)
	if detail.State.Final() {
		fmt.Fprintf(stdout, "ended: %s\n", formatUnixMilliseconds(detail.EndedMS))
		return
	}
	fmt.Fprintf(stdout, "route %s, priority %d, at most %d attempts a task; repetitions complete: %d of %d\n", detail.Route, detail.Priority, detail.MaxAttempts, detail.CompleteRepetitions, detail.Repetitions)
	if detail.NextDueMS != 0 {
		fmt.Fprintf(stdout, "next repetition: %s\n", formatUnixMilliseconds(detail.NextDueMS))
	}
	fmt.Fprintln(stdout)
	rows := [][]string{{"REPETITION", "STAGE", "KIND", "REQUEST", "BLOCKED", "WAITING", "RUNNING", "DONE"}}
	for _, stage := range detail.Stages {
		row := []string{fmt.Sprint(stage.Repetition), fmt.Sprint(stage.Stage), choose(stage.Gang, "gang", "tasks"), formatResources(stage.Request)}
		rows = append(rows, append(row, taskCountColumns(stage.Tasks)...))
	}
	printTable(rows)
	if len(detail.Attempts) > 0 {
		fmt.Fprintln(stdout)
		printAttempts(detail.Attempts)
	}
	for _, failure := range detail.Failures {
		fmt.Fprintf(stdout, "task %s has failed %d times (runs %v)\n", failure.Task, len(failure.Attempts), failure.Attempts)
	}
	if detail.Truncated {
		fmt.Fprintln(stdout, "the lists are cut off")
	}
}

func printAttempts(attempts []jobreport.Attempt) {
	rows := [][]string{{"TASK", "RUN", "SEARCHER", "AGE", "PROGRESS", "STATE"}}
	for _, attempt := range attempts {
		state := choose(attempt.Confirmed, "running", "ordered")
		if attempt.Stopping {
			state = "stopping"
		}
		rows = append(rows, []string{attempt.Task, fmt.Sprint(attempt.Number), attempt.Worker, millisecondsToDuration(attempt.AgeMS).String(), fmt.Sprintf("%d%%", attempt.Percent), state})
	}
	printTable(rows)
}

// printUnanswered warns on standard error of services whose leader gave no response, so that they are missing from the output.
func printUnanswered(list []control.UnansweredService) {
	for _, service := range list {
		fmt.Fprintf(stderr, "service %s is missing above: %s\n", service.Service, service.Error)
	}
}

func taskCountColumns(c jobreport.TaskCounts) []string {
	return []string{fmt.Sprint(c.Blocked), fmt.Sprint(c.Waiting), fmt.Sprint(c.Running), fmt.Sprint(c.Done)}
}

// formatResources formats cores, memory and accelerators.
func formatResources(r job.Resources) string {
	text := fmt.Sprintf("%.1f cores %d MB", float64(r.Processors)/1000, r.MemoryMB)
	if r.Accelerators != 0 {
		text += fmt.Sprintf(" %d acc", r.Accelerators)
	}
	return text
}

func millisecondsToDuration(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func formatUnixMilliseconds(milliseconds int64) string {
	return time.UnixMilli(milliseconds).UTC().Format(time.RFC3339)
}

func orDash(text string) string { return choose(text == "", "-", text) }

func yesNo(yes bool) string { return choose(yes, "yes", "no") }

func choose(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}
