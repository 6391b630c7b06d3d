package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"puffinlink.example/puffinlink/internal/tools/validate"
)

type planValidateCommand struct {
	Seconds float64 `long:"seconds" value-name:"NUMBER" default:"10" description:"Seconds to run each scenario, after 2 s of warm-up."`
	Drawn   int     `long:"drawn" value-name:"NUMBER" default:"4" description:"Number of random scenarios in addition to the fixed ones."`
	Seed    uint64  `long:"seed" value-name:"NUMBER" default:"1" description:"Seed of the random scenarios."`
	Only    string  `long:"only" value-name:"STRING" description:"Run only the scenario of this name."`
	JSON    bool    `long:"json" description:"Print JSON."`
}

// Execute implements flags.Commander.
func (c *planValidateCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	var results []validate.Result
	timers := validate.MeasureTimerOverrun()
	fmt.Fprintf(stderr, "sleeps take %.2f ms longer than asked here, one alone %.2f: added to the work of parts, and to mixers' steps\n", 1000*timers.ConcurrentSleep, 1000*timers.SingleSleep)
	for _, scenario := range validate.Scenarios(c.Drawn, c.Seed, c.Seconds) {
		if c.Only != "" && scenario.Name != c.Only {
			continue
		}
		fmt.Fprintln(stderr, "playing", scenario.Name)
		result, err := validate.Run(ctx, scenario, timers, c.Seed)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	if c.JSON {
		return printJSON(results)
	}
	validate.Print(stdout, results)
	return nil
}
