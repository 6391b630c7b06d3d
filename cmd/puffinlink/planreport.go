package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"

	"puffinlink.example/puffinlink/internal/tools/plan"
)

type planReportCommand struct{ planOptions }

// planReport is the report that the command prints with --json.
type planReport struct {
	QueriesPerSecond float64           `json:"lookups_per_s"`
	Notes            []string          `json:"notes"`
	Limits           []plan.Limit      `json:"limits"`
	BreakingLoad     plan.BreakingLoad `json:"breaks"`
	WhatIfs          []whatIfRow       `json:"what_ifs"`
	Recovers         bool              `json:"recovers_from_burst"` // whether the goals are met again after a burst of burstFactor times the load
	RecoveryLoad     float64           `json:"leave_at_per_s"`      // if not, the load at which they are met again
}

// burstFactor is the factor between the planned load and the burst after which the report checks whether the fleet recovers. It
// is that of the month end against a usual day.
const burstFactor = 3

// whatIfRow is the result of emulating the unchanged fleet or one fault.
type whatIfRow struct {
	Name       string  `json:"name"`
	InTime     float64 `json:"share_of_gain_in_time"`
	Nacked     float64 `json:"nacked"`
	Aborted    float64 `json:"aborted"`
	P50        float64 `json:"p50_s"`
	P99        float64 `json:"p99_s"`
	Hottest    string  `json:"hottest"`
	Use        float64 `json:"use"`
	Lost       []int   `json:"shards_lost"`
	MeetsGoals bool    `json:"keeps_goals"`
}

// Execute implements flags.Commander.
func (c *planReportCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	input, err := c.load()
	if err != nil {
		return err
	}
	report := planReport{QueriesPerSecond: input.load.QueriesPerSecond, Notes: input.notes}
	if err := c.addWhatIfs(ctx, &report, &input); err != nil {
		return err
	}
	report.Recovers, report.RecoveryLoad = plan.Recovers(&input.fleet, &input.load, burstFactor, c.Seed)
	var breakErr error
	report.BreakingLoad, breakErr = plan.FindBreakingLoad(&input.fleet, &input.load, c.Seed, c.breakProgress(ctx))
	if c.JSON {
		return printJSON(report)
	}
	fmt.Fprintln(stderr)
	printPlanReport(&report, breakErr)
	return nil
}

// addWhatIfs emulates the unchanged fleet and each fault, and adds a row for each to the report. It also adds the limits of the
// unchanged fleet.
func (c *planReportCommand) addWhatIfs(ctx context.Context, report *planReport, input *planInput) error {
	for _, whatIf := range plan.WhatIfs(&input.fleet, &input.load) {
		if ctx.Err() != nil {
			return errInterrupted
		}
		outcome := plan.Emulate(&whatIf.Site, &whatIf.Workload, c.Seed, 0)
		if whatIf.Name == "as it is" {
			report.Limits = outcome.Limits(&input.fleet)
		}
		meetsGoals, _ := outcome.MeetsGoals(&whatIf.Site)
		report.WhatIfs = append(report.WhatIfs, whatIfRow{
			Name: whatIf.Name, InTime: outcome.ValueShare, Nacked: outcome.Nacked, Aborted: outcome.Aborted, P50: outcome.P50, P99: outcome.P99,
			Hottest: whatIf.Site.Backends[outcome.Hottest].Name, Use: outcome.Use[outcome.Hottest], Lost: whatIf.Lost, MeetsGoals: meetsGoals,
		})
	}
	return nil
}

// breakProgress returns a function that prints the progress of the search for the breaking load. The function exits the process
// after an interrupt, as the search accepts no context.
func (c *planReportCommand) breakProgress(ctx context.Context) func(done, total int) {
	return func(done, total int) {
		if !c.JSON {
			fmt.Fprintf(stderr, "\rlooking for where it breaks: %d of %d at most", done, total)
		}
		if ctx.Err() != nil {
			fmt.Fprintln(stderr, "\ninterrupted")
			os.Exit(exitFailed)
		}
	}
}

// printPlanReport prints a report as text. If breakErr is not nil, it explains why no breaking load was found.
func printPlanReport(report *planReport, breakErr error) {
	fmt.Fprintf(stdout, "%.1f lookups a second\n", report.QueriesPerSecond)
	printNotes(report.Notes)
	printBreakingLoad(report, breakErr)
	printRecovery(report)
	fmt.Fprintln(stdout)
	printLimits(report.Limits)
	fmt.Fprintln(stdout)
	printWhatIfs(report.WhatIfs)
}

func printBreakingLoad(report *planReport, breakErr error) {
	if breakErr != nil {
		fmt.Fprintln(stdout, "note:", breakErr)
		return
	}
	breaks := &report.BreakingLoad
	fmt.Fprintf(stdout, "goals break at %.0f to %.0f lookups a second, %.2f times this load, first that of %s; nearest its limit there: %s of %s (margin %.2f)\n",
		breaks.QueriesPerSecond, breaks.Fails, breaks.QueriesPerSecond/report.QueriesPerSecond, breaks.Index, breaks.First.What, breaks.First.Where, breaks.First.Margin)
}

func printRecovery(report *planReport) {
	switch {
	case report.Recovers:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals are kept again\n", burstFactor)
	case report.RecoveryLoad > 0:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals stay broken until it goes down to %.0f lookups a second\n", burstFactor, report.RecoveryLoad)
	default:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals stay broken down to a tenth of it\n", burstFactor)
	}
}

func printLimits(limits []plan.Limit) {
	rows := [][]string{}
	for _, limit := range limits {
		rows = append(rows, []string{limit.What, limit.Where, fmt.Sprintf("%.3g", limit.Used), fmt.Sprintf("%.3g", limit.Max), fmt.Sprintf("%.2f", limit.Margin)})
	}
	writeTableWithHeader(stdout, "LIMIT WHERE USED MOST MARGIN", rows)
}

func printWhatIfs(whatIfs []whatIfRow) {
	rows := [][]string{}
	for _, row := range whatIfs {
		rows = append(rows, []string{row.Name, fmt.Sprintf("%.3f", row.InTime), fmt.Sprintf("%.3f", row.Nacked), fmt.Sprintf("%.3f", row.Aborted), formatSecondsAsMilliseconds(row.P50),
			formatSecondsAsMilliseconds(row.P99), fmt.Sprintf("%s %.0f%%", row.Hottest, 100*row.Use), strconv.Itoa(len(row.Lost)), yesNo(row.MeetsGoals)})
	}
	writeTableWithHeader(stdout, "WHAT-IF IN-TIME NACKED ABORTED P50 P99 HOTTEST SHARDS-LOST KEEPS-GOALS", rows)
}
