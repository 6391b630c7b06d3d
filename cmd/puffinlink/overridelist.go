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
	var v api.View
	if err := c.get("/v1/overrides", &v); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(v)
	}
	fmt.Fprintf(stdout, "mixer %s, revision %d, kept in %s\n", v.Aggregator, v.Revision, v.Storage)
	rows := [][]string{}
	for i := range v.Overrides {
		o := &v.Overrides[i]
		target, does := describeOverride(o)
		rows = append(rows, []string{strconv.FormatUint(o.ID, 10), target, does, formatRemaining(o.EndsIn), o.Author, o.Reason, o.State})
	}
	table(stdout, "ID TARGET DOES ENDS-IN AUTHOR REASON STATE", rows)
	if len(v.Recoveries) > 0 {
		rows = rows[:0]
		for _, r := range v.Recoveries {
			shard := "all"
			if r.Shard != nil {
				shard = strconv.Itoa(*r.Shard)
			}
			rows = append(rows, []string{r.Backend, shard, r.Index, fmt.Sprintf("%.0f%%", 100*r.Level), fmt.Sprintf("%.0f%%", 100*r.Desired)})
		}
		fmt.Fprintln(stdout)
		table(stdout, "RETURNING SHARD INDEX NOW UP-TO", rows)
	}
	return nil
}
