package main

import (
	"fmt"
	"strconv"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

func formatRemaining(s float64) string {
	return time.Duration(s * float64(time.Second)).Round(time.Second).String()
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
		target, does := describeOverride(o)
		rows = append(rows, []string{strconv.FormatUint(o.ID, 10), target, does, formatRemaining(o.EndsIn), o.Author, o.Reason, o.State})
	}
	table(stdout, "ID TARGET DOES ENDS-IN AUTHOR REASON STATE", rows)
	if len(view.Recoveries) > 0 {
		rows = rows[:0]
		for _, returning := range view.Recoveries {
			shard := "all"
			if returning.Shard != nil {
				shard = strconv.Itoa(*returning.Shard)
			}
			rows = append(rows, []string{returning.Backend, shard, returning.Index, fmt.Sprintf("%.0f%%", 100*returning.Level), fmt.Sprintf("%.0f%%", 100*returning.Desired)})
		}
		fmt.Fprintln(stdout)
		table(stdout, "RETURNING SHARD INDEX NOW UP-TO", rows)
	}
	return nil
}
