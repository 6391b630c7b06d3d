package main

import (
	"fmt"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

// formatRemaining formats a remaining time in seconds, rounded to whole seconds.
func formatRemaining(seconds float64) string {
	return time.Duration(seconds * float64(time.Second)).Round(time.Second).String()
}

type overrideListCommand struct{ operatorConnection }

func (c *overrideListCommand) Execute([]string) error {
	var view api.View
	if err := c.get("/v1/overrides", &view); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(view)
	}
	fmt.Fprintf(stdout, "mixer %s, revision %d, kept in %s\n", view.Aggregator, view.Revision, view.Storage)
	rows := [][]string{}
	for i := range view.Overrides {
		o := &view.Overrides[i]
		target, effect := describeOverride(o)
		rows = append(rows, []string{strconv.FormatUint(o.ID, 10), target, effect, formatRemaining(o.EndsIn), o.Author, o.Reason, o.State})
	}
	writeTableWithHeader(stdout, "ID TARGET DOES ENDS-IN AUTHOR REASON STATE", rows)
	if len(view.Recoveries) > 0 {
		rows = rows[:0]
		for _, recovery := range view.Recoveries {
			shard := "all"
			if recovery.Shard != nil {
				shard = strconv.Itoa(*recovery.Shard)
			}
			rows = append(rows, []string{recovery.Backend, shard, recovery.Index, fmt.Sprintf("%.0f%%", 100*recovery.Level), fmt.Sprintf("%.0f%%", 100*recovery.Desired)})
		}
		fmt.Fprintln(stdout)
		writeTableWithHeader(stdout, "RETURNING SHARD INDEX NOW UP-TO", rows)
	}
	return nil
}
