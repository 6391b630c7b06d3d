package main

import (
	"fmt"
	"math"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/internal/tools/plan"
	"puffinlink.example/puffinlink/internal/tools/planfile"
)

type planCommand struct {
	Report   planReportCommand   `command:"report" description:"Report the load at which goals are missed, the limits, and the effect of losing a location. Example: puffinlink plan report fleet.json5 --capture all.capture"`
	Buy      planBuyCommand      `command:"buy" description:"Find the cheapest backends that meet the goals with a location lost. Example: puffinlink plan buy fleet.json5 --capture all.capture --spare 1"`
	Compare  planCompareCommand  `command:"compare" description:"Compare two fleets, or one fleet under two captures. Example: puffinlink plan compare a.json5 b.json5 --capture all.capture"`
	Validate planValidateCommand `command:"prove" description:"Compare the planner's predictions with measurements on this machine. Example: puffinlink plan prove --seconds 10"`
}

// planOptions are the flags and arguments of the commands that plan for a capture.
type planOptions struct {
	Capture   string  `long:"capture" value-name:"STRING" required:"yes" description:"A capture: a file, or a directory of them."`
	Mean      bool    `long:"mean" description:"Plan for the capture's mean load instead of its busiest interval."`
	Times     float64 `long:"times" value-name:"NUMBER" default:"1" description:"Factor that multiplies the load."`
	Seed      uint64  `long:"seed" value-name:"NUMBER" default:"1" description:"Seed of the random numbers."`
	JSON      bool    `long:"json" description:"Print JSON."`
	Arguments struct {
		Fleet string `positional-arg-name:"fleet" description:"The fleet's description, JSON with comments."`
	} `positional-args:"yes" required:"yes"`
}

// planInput is a fleet and the load that it is planned for.
type planInput struct {
	fleet plan.Site
	load  plan.Workload
	notes []string // assumptions and gaps that the report prints
}

// load reads the fleet's description and the capture, takes values that are missing in the description from the capture, and
// scales the load.
func (p *planOptions) load() (input planInput, err error) {
	if input.fleet, err = planfile.ReadFile(p.Arguments.Fleet); err != nil {
		return input, err
	}
	captured, err := openCapture(p.Capture)
	if err != nil {
		return input, err
	}
	sum := captured.Sum()
	if input.notes, err = planfile.Fill(&input.fleet, &sum); err != nil {
		return input, err
	}
	if err := input.fleet.Check(); err != nil {
		return input, fmt.Errorf("%s: %w", p.Arguments.Fleet, err)
	}
	load, notes, err := planfile.Workload(&input.fleet, captured, &sum, p.Mean)
	if err != nil {
		return input, err
	}
	input.notes = append(input.notes, notes...)
	if !(p.Times > 0) {
		return input, usageErrorf("times is %g, expected more than none", p.Times)
	}
	input.load = load.Scaled(p.Times)
	if seen := peakQueriesPerSecond(captured); input.load.QueriesPerSecond > seen*1.001 {
		input.notes = append(input.notes, fmt.Sprintf("%.0f lookups a second are beyond the %.0f that the capture saw: how clients come back and what is popular then is not known, take figures as good to %s", input.load.QueriesPerSecond, seen, "a quarter"))
	}
	return input, nil
}

// peakQueriesPerSecond returns the highest rate of queries among the intervals of a capture.
func peakQueriesPerSecond(c capture.Capture) (most float64) {
	for i := range c.Intervals {
		n := 0.0
		for _, load := range c.Intervals[i].Loads {
			n += float64(load.Queries)
		}
		most = math.Max(most, n/c.Intervals[i].Span)
	}
	return most
}

func printNotes(notes []string) {
	for _, note := range notes {
		fmt.Fprintln(stdout, "note:", note)
	}
}
