package main

import (
	"fmt"
	"net/url"
	"strconv"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type overrideWhyCommand struct {
	operatorConnection
	Arguments struct {
		Shard    int    `positional-arg-name:"shard" description:"The shard."`
		Index    string `positional-arg-name:"index" description:"The index."`
		Searcher string `positional-arg-name:"searcher" description:"The backend."`
	} `positional-args:"yes" required:"yes"`
}

func (c *overrideWhyCommand) Execute([]string) error {
	var explanation api.Explanation
	query := url.Values{"shard": {strconv.Itoa(c.Arguments.Shard)}, "index": {c.Arguments.Index}, "searcher": {c.Arguments.Searcher}}
	if err := c.get("/v1/why?"+query.Encode(), &explanation); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(explanation)
	}
	verdict := "does not go"
	if explanation.Routed {
		verdict = fmt.Sprintf("goes, at %.0f%% of its usual part calls,", 100*explanation.Share)
	}
	fmt.Fprintf(stdout, "shard %d of %s %s to %s\n", c.Arguments.Shard, c.Arguments.Index, verdict, c.Arguments.Searcher)
	rows := [][]string{}
	for _, rule := range explanation.Rules {
		by, acts := "-", "suspended"
		if rule.OverrideID != 0 {
			by = strconv.FormatUint(rule.OverrideID, 10)
		}
		if rule.Decides {
			acts = "acts"
		}
		rows = append(rows, []string{rule.Rule, acts, by, rule.Text})
	}
	writeTableWithHeader(stdout, "RULE STATE OVERRIDE WHY", rows)
	return nil
}
