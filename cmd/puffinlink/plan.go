package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"os/signal"
	"strconv"

	"puffinlink.example/puffinlink/internal/operators/capture"
	"puffinlink.example/puffinlink/internal/tools/plan"
	"puffinlink.example/puffinlink/internal/tools/planfile"
	"puffinlink.example/puffinlink/internal/tools/validate"
)

type planCommand struct {
	Report   planReportCommand   `command:"report" description:"What breaks first, what it bears, what losing a location does. Example: puffinlink plan report fleet.json5 --capture all.capture"`
	Buy      planBuyCommand      `command:"buy" description:"Fewest searchers that keep the goals with a location lost. Example: puffinlink plan buy fleet.json5 --capture all.capture --spare 1"`
	Compare  planCompareCommand  `command:"compare" description:"Two fleets, or one under two captures, side by side. Example: puffinlink plan compare a.json5 b.json5 --capture all.capture"`
	Validate planValidateCommand `command:"prove" description:"Hold predictions to what happens on this machine. Example: puffinlink plan prove --seconds 10"`
}

// planOptions is what a plan is made of.
type planOptions struct {
	Capture   string  `long:"capture" value-name:"STRING" required:"yes" description:"A capture: a file, or a directory of them."`
	Mean      bool    `long:"mean" description:"Plan for the capture's mean, not its busiest interval."`
	Times     float64 `long:"times" value-name:"NUMBER" default:"1" description:"Multiply the load."`
	Seed      uint64  `long:"seed" value-name:"NUMBER" default:"1" description:"Of what chance adds."`
	JSON      bool    `long:"json" description:"As JSON."`
	Arguments struct {
		Fleet string `positional-arg-name:"fleet" description:"The fleet's description, JSON with comments."`
	} `positional-args:"yes" required:"yes"`
}

// load reads both and puts them beside one another.
func (p *planOptions) load() (f plan.Site, a plan.Workload, notes []string, err error) {
	if f, err = planfile.ReadFile(p.Arguments.Fleet); err != nil {
		return f, a, nil, err
	}
	c, err := openCapture(p.Capture)
	if err != nil {
		return f, a, nil, err
	}
	sum := c.Sum()
	if notes, err = planfile.Fill(&f, &sum); err != nil {
		return f, a, notes, err
	}
	if err = f.Check(); err != nil {
		return f, a, notes, fmt.Errorf("%s: %w", p.Arguments.Fleet, err)
	}
	a, more, err := planfile.Workload(&f, c, &sum, p.Mean)
	if err != nil {
		return f, a, notes, err
	}
	notes = append(notes, more...)
	if !(p.Times > 0) {
		return f, a, notes, usageErrorf("times is %g, expected more than none", p.Times)
	}
	a = a.Scaled(p.Times)
	if seen := peakQueriesPerSecond(c); a.PerS > seen*1.001 {
		notes = append(notes, fmt.Sprintf("%.0f lookups a second are beyond the %.0f that the capture saw: how clients come back and what is popular then is not known, take figures as good to %s", a.PerS, seen, "a quarter"))
	}
	return f, a, notes, nil
}

// peakQueriesPerSecond is the most lookups a second that a capture saw.
func peakQueriesPerSecond(c capture.Capture) (most float64) {
	for i := range c.Intervals {
		n := 0.0
		for _, l := range c.Intervals[i].Loads {
			n += float64(l.Queries)
		}
		most = math.Max(most, n/c.Intervals[i].Span)
	}
	return most
}

type planReportCommand struct{ planOptions }

// planReport is the report as JSON.
type planReport struct {
	QueriesPerSecond float64           `json:"lookups_per_s"`
	Notes            []string          `json:"notes"`
	Limits           []plan.Limit      `json:"limits"`
	Breaks           plan.BreakingLoad `json:"breaks"`
	WhatIfs          []whatIfRow       `json:"what_ifs"`
	Recovers         bool              `json:"recovers_from_burst"` // of burstFactor times the load
	LeaveAt          float64           `json:"leave_at_per_s"`      // else the load to go down to
}

// burstFactor is how many times the load the burst is from which a plan tells whether a fleet recovers: month end against a
// usual day.
const burstFactor = 3

type whatIfRow struct {
	Name     string  `json:"name"`
	InTime   float64 `json:"share_of_gain_in_time"`
	Nacked   float64 `json:"nacked"`
	Aborted  float64 `json:"aborted"`
	P50      float64 `json:"p50_s"`
	P99      float64 `json:"p99_s"`
	Hottest  string  `json:"hottest"`
	Use      float64 `json:"use"`
	Lost     []int   `json:"shards_lost"`
	KeepsAll bool    `json:"keeps_goals"`
}

func (c *planReportCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	f, a, notes, err := c.load()
	if err != nil {
		return err
	}
	var r planReport
	r.QueriesPerSecond, r.Notes = a.PerS, notes
	for _, w := range plan.WhatIfs(&f, &a) {
		if ctx.Err() != nil {
			return errInterrupted
		}
		o := plan.Emulate(&w.Site, &w.Ask, c.Seed, 0)
		if w.Name == "as it is" {
			r.Limits = o.Limits(&f)
		}
		keeps, _ := o.MeetsGoals(&w.Site)
		r.WhatIfs = append(r.WhatIfs, whatIfRow{w.Name, o.ValueShare, o.Nacked, o.Aborted, o.P50, o.P99, w.Site.Backends[o.Hottest].Name, o.Use[o.Hottest], w.Lost, keeps})
	}
	r.Recovers, r.LeaveAt = plan.Recovers(&f, &a, burstFactor, c.Seed)
	var breakErr error
	r.Breaks, breakErr = plan.FindBreakingLoad(&f, &a, c.Seed, func(done, of int) {
		if !c.JSON {
			fmt.Fprintf(stderr, "\rlooking for where it breaks: %d of %d at most", done, of)
		}
		if ctx.Err() != nil {
			fmt.Fprintln(stderr, "\ninterrupted")
			os.Exit(exitFailed)
		}
	})
	if c.JSON {
		return printJSON(r)
	}
	fmt.Fprintln(stderr)
	fmt.Fprintf(stdout, "%.1f lookups a second\n", a.PerS)
	for _, n := range notes {
		fmt.Fprintln(stdout, "note:", n)
	}
	if breakErr != nil {
		fmt.Fprintln(stdout, "note:", breakErr)
	} else {
		fmt.Fprintf(stdout, "goals break at %.0f to %.0f lookups a second, %.2f times this load, first that of %s; nearest its limit there: %s of %s (margin %.2f)\n",
			r.Breaks.PerS, r.Breaks.Fails, r.Breaks.PerS/a.PerS, r.Breaks.Index, r.Breaks.First.What, r.Breaks.First.Where, r.Breaks.First.Margin)
	}
	switch {
	case r.Recovers:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals are kept again\n", burstFactor)
	case r.LeaveAt > 0:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals stay broken until it goes down to %.0f lookups a second\n", burstFactor, r.LeaveAt)
	default:
		fmt.Fprintf(stdout, "after a burst of %d times this load the goals stay broken down to a tenth of it\n", burstFactor)
	}
	rows := [][]string{}
	for _, l := range r.Limits {
		rows = append(rows, []string{l.What, l.Where, fmt.Sprintf("%.3g", l.Used), fmt.Sprintf("%.3g", l.Most), fmt.Sprintf("%.2f", l.Margin)})
	}
	fmt.Fprintln(stdout)
	table(stdout, "LIMIT WHERE USED MOST MARGIN", rows)
	rows = rows[:0]
	for _, w := range r.WhatIfs {
		keeps := "no"
		if w.KeepsAll {
			keeps = "yes"
		}
		rows = append(rows, []string{w.Name, fmt.Sprintf("%.3f", w.InTime), fmt.Sprintf("%.3f", w.Nacked), fmt.Sprintf("%.3f", w.Aborted), formatMilliseconds(w.P50), formatMilliseconds(w.P99),
			fmt.Sprintf("%s %.0f%%", w.Hottest, 100*w.Use), strconv.Itoa(len(w.Lost)), keeps})
	}
	fmt.Fprintln(stdout)
	table(stdout, "WHAT-IF IN-TIME NACKED ABORTED P50 P99 HOTTEST SHARDS-LOST KEEPS-GOALS", rows)
	return nil
}

type planBuyCommand struct {
	planOptions
	Spare int `long:"spare" value-name:"NUMBER" description:"Searchers that may be lost besides a location."`
	Most  int `long:"most" value-name:"NUMBER" default:"100" description:"That may stand in one location."`
}

func (c *planBuyCommand) Execute([]string) error {
	f, a, notes, err := c.load()
	if err != nil {
		return err
	}
	b, err := plan.FindBreakingLoad(&f, &a, c.Seed, nil)
	if err != nil {
		return err
	}
	at := a.Scaled(b.PerS / a.PerS)
	use := plan.Emulate(&f, &at, c.Seed, 0)
	busy, cores := 0.0, 0.0
	for i, s := range f.Backends {
		busy, cores = busy+use.Use[i]*float64(s.Cores), cores+float64(s.Cores)
	}
	demand := busy / b.PerS * a.PerS
	var offers []plan.Offer
	for _, place := range f.Locations {
		for _, s := range f.Backends {
			if s.Location == place {
				offers = append(offers, plan.Offer{Location: place, Price: max(s.Price, 1e-9), Capacity: busy / cores * float64(s.Cores), Max: c.Most})
				break
			}
		}
	}
	buy, err := plan.CheapestPurchase(offers, demand, c.Spare)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(map[string]any{"offers": offers, "buy": buy, "demand_cores": demand, "notes": notes})
	}
	for _, n := range notes {
		fmt.Fprintln(stdout, "note:", n)
	}
	fmt.Fprintf(stdout, "%.1f cores of work a second at %.0f lookups a second; the goals break at a use of %.0f%%\n", demand, a.PerS, 100*busy/cores)
	rows := [][]string{}
	for i, o := range offers {
		rows = append(rows, []string{o.Location, strconv.Itoa(buy.Counts[i]), fmt.Sprintf("%.4g", o.Price)})
	}
	table(stdout, "LOCATION SEARCHERS PRICE-EACH", rows)
	fmt.Fprintf(stdout, "price %.4g; no purchase costs less than %.4g\n", buy.Price, buy.Bound)
	return nil
}

type planValidateCommand struct {
	Seconds float64 `long:"seconds" value-name:"NUMBER" default:"10" description:"That each setting is played, after 2 s to learn."`
	Drawn   int     `long:"drawn" value-name:"NUMBER" default:"4" description:"Settings that a seed draws, beside the known ones."`
	Seed    uint64  `long:"seed" value-name:"NUMBER" default:"1" description:"Of the drawn ones."`
	Only    string  `long:"only" value-name:"STRING" description:"The setting of this name alone."`
	JSON    bool    `long:"json" description:"As JSON."`
}

func (c *planValidateCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var results []validate.Result
	on := validate.MeasureTimers()
	fmt.Fprintf(stderr, "sleeps take %.2f ms longer than asked here, one alone %.2f: added to the work of parts, and to mixers' steps\n", 1000*on.Work, 1000*on.Step)
	for _, s := range validate.Scenarios(c.Drawn, c.Seed, c.Seconds) {
		if c.Only != "" && s.Name != c.Only {
			continue
		}
		fmt.Fprintln(stderr, "playing", s.Name)
		r, err := validate.Run(ctx, s, on, c.Seed)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	if c.JSON {
		return printJSON(results)
	}
	validate.Print(stdout, results)
	return nil
}

type planCompareCommand struct {
	planOptions
	OtherCapture string `long:"other-capture" value-name:"STRING" description:"The other capture; the same one where it is not stated."`
	Second       struct {
		Other string `positional-arg-name:"other" description:"The fleet to compare with."`
	} `positional-args:"yes" required:"yes"`
}

// side is one side of a comparison.
type planComparison struct {
	Fleet            string  `json:"fleet"`
	QueriesPerSecond float64 `json:"lookups_per_s"`
	InTime           float64 `json:"share_of_gain_in_time"`
	Nacked           float64 `json:"nacked"`
	P50              float64 `json:"p50_s"`
	P99              float64 `json:"p99_s"`
	Use              float64 `json:"use_of_hottest"`
	Breaks           float64 `json:"breaks_at_per_s"`
	Worst            string  `json:"worst_location"`
	WorstInTime      float64 `json:"in_time_with_it_lost"`
	Price            float64 `json:"price"`
	Note             string  `json:"note,omitempty"`
}

// side plays one side.
func (p *planOptions) evaluate() (s planComparison, err error) {
	f, a, _, err := p.load()
	if err != nil {
		return s, err
	}
	o := plan.Emulate(&f, &a, p.Seed, 0)
	s = planComparison{Fleet: p.Arguments.Fleet, QueriesPerSecond: a.PerS, InTime: o.ValueShare, Nacked: o.Nacked, P50: o.P50, P99: o.P99, Use: o.Use[o.Hottest], WorstInTime: 1}
	for _, x := range f.Backends {
		s.Price += x.Price
	}
	for _, place := range f.Locations {
		left, _ := f.Without(place)
		if len(left.Backends) == 0 || len(left.Backends) == len(f.Backends) {
			continue
		}
		if lost := plan.Emulate(&left, &a, p.Seed, 0); lost.ValueShare <= s.WorstInTime {
			s.Worst, s.WorstInTime = place, lost.ValueShare
		}
	}
	b, err := plan.FindBreakingLoad(&f, &a, p.Seed, nil)
	if s.Breaks = b.PerS; err != nil {
		s.Note = err.Error()
	}
	return s, nil
}

func (c *planCompareCommand) Execute([]string) error {
	other := c.planOptions
	if other.Arguments.Fleet = c.Second.Other; c.OtherCapture != "" {
		other.Capture = c.OtherCapture
	}
	var sides []planComparison
	for _, p := range []planOptions{c.planOptions, other} {
		s, err := p.evaluate()
		if err != nil {
			return err
		}
		sides = append(sides, s)
	}
	if c.JSON {
		return printJSON(sides)
	}
	rows := [][]string{}
	for _, s := range sides {
		rows = append(rows, []string{s.Fleet, fmt.Sprintf("%.1f", s.QueriesPerSecond), fmt.Sprintf("%.3f", s.InTime), fmt.Sprintf("%.3f", s.Nacked), formatMilliseconds(s.P50), formatMilliseconds(s.P99),
			fmt.Sprintf("%.0f%%", 100*s.Use), fmt.Sprintf("%.0f", s.Breaks), fmt.Sprintf("%s %.3f", s.Worst, s.WorstInTime), fmt.Sprintf("%.4g", s.Price)})
	}
	table(stdout, "FLEET LOOKUPS/S IN-TIME NACKED P50 P99 USE BREAKS-AT WORST-LOCATION-LOST PRICE", rows)
	for _, s := range sides {
		if s.Note != "" {
			fmt.Fprintln(stdout, "note:", s.Fleet+":", s.Note)
		}
	}
	return nil
}
