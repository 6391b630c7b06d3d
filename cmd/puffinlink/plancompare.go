package main

import (
	"fmt"

	"puffinlink.example/puffinlink/internal/tools/plan"
)

type planCompareCommand struct {
	planOptions
	OtherCapture string `long:"other-capture" value-name:"STRING" description:"Capture for the other fleet; the same one by default."`
	Second       struct {
		Other string `positional-arg-name:"other" description:"The fleet to compare with."`
	} `positional-args:"yes" required:"yes"`
}

// planComparison contains the results for one of the fleets that are compared.
type planComparison struct {
	Fleet              string  `json:"fleet"`
	QueriesPerSecond   float64 `json:"lookups_per_s"`
	InTime             float64 `json:"share_of_gain_in_time"`
	Nacked             float64 `json:"nacked"`
	P50                float64 `json:"p50_s"`
	P99                float64 `json:"p99_s"`
	Use                float64 `json:"use_of_hottest"`
	BreakingLoad       float64 `json:"breaks_at_per_s"`
	WorstLocation      string  `json:"worst_location"`
	InTimeWithoutWorst float64 `json:"in_time_with_it_lost"`
	Price              float64 `json:"price"`
	Note               string  `json:"note,omitempty"`
}

// evaluate emulates one of the fleets that are compared: with all backends, with each location lost, and up to its breaking load.
func (p *planOptions) evaluate() (result planComparison, err error) {
	input, err := p.load()
	if err != nil {
		return result, err
	}
	outcome := plan.Emulate(&input.fleet, &input.load, p.Seed, 0)
	result = planComparison{
		Fleet: p.Arguments.Fleet, QueriesPerSecond: input.load.QueriesPerSecond, InTime: outcome.ValueShare, Nacked: outcome.Nacked, P50: outcome.P50, P99: outcome.P99,
		Use: outcome.Use[outcome.Hottest], InTimeWithoutWorst: 1,
	}
	for _, backend := range input.fleet.Backends {
		result.Price += backend.Price
	}
	for _, location := range input.fleet.Locations {
		remaining, _ := input.fleet.Without(location)
		if len(remaining.Backends) == 0 || len(remaining.Backends) == len(input.fleet.Backends) {
			continue
		}
		if outcomeWithout := plan.Emulate(&remaining, &input.load, p.Seed, 0); outcomeWithout.ValueShare <= result.InTimeWithoutWorst {
			result.WorstLocation, result.InTimeWithoutWorst = location, outcomeWithout.ValueShare
		}
	}
	breaks, err := plan.FindBreakingLoad(&input.fleet, &input.load, p.Seed, nil)
	if result.BreakingLoad = breaks.QueriesPerSecond; err != nil {
		result.Note = err.Error()
	}
	return result, nil
}

// Execute implements flags.Commander.
func (c *planCompareCommand) Execute([]string) error {
	other := c.planOptions
	if other.Arguments.Fleet = c.Second.Other; c.OtherCapture != "" {
		other.Capture = c.OtherCapture
	}
	var sides []planComparison
	for _, p := range []planOptions{c.planOptions, other} {
		side, err := p.evaluate()
		if err != nil {
			return err
		}
		sides = append(sides, side)
	}
	if c.JSON {
		return printJSON(sides)
	}
	rows := [][]string{}
	for _, side := range sides {
		rows = append(rows, []string{side.Fleet, fmt.Sprintf("%.1f", side.QueriesPerSecond), fmt.Sprintf("%.3f", side.InTime), fmt.Sprintf("%.3f", side.Nacked), formatSecondsAsMilliseconds(side.P50), formatSecondsAsMilliseconds(side.P99),
			fmt.Sprintf("%.0f%%", 100*side.Use), fmt.Sprintf("%.0f", side.BreakingLoad), fmt.Sprintf("%s %.3f", side.WorstLocation, side.InTimeWithoutWorst), fmt.Sprintf("%.4g", side.Price)})
	}
	writeTableWithHeader(stdout, "FLEET LOOKUPS/S IN-TIME NACKED P50 P99 USE BREAKS-AT WORST-LOCATION-LOST PRICE", rows)
	for _, side := range sides {
		if side.Note != "" {
			fmt.Fprintln(stdout, "note:", side.Fleet+":", side.Note)
		}
	}
	return nil
}
