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
	var w api.Why
	q := url.Values{"shard": {strconv.Itoa(c.Arguments.Shard)}, "index": {c.Arguments.Index}, "searcher": {c.Arguments.Searcher}}
	if err := c.get("/v1/why?"+q.Encode(), &w); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(w)
	}
	verdict := "does not go"
	if w.Goes {
		verdict = fmt.Sprintf("goes, at %.0f%% of its usual part calls,", 100*w.Share)
	}
	fmt.Fprintf(stdout, "shard %d of %s %s to %s\n", c.Arguments.Shard, c.Arguments.Index, verdict, c.Arguments.Searcher)
	rows := [][]string{}
	for _, r := range w.Rules {
		by, acts := "-", "suspended"
		if r.Override != 0 {
			by = strconv.FormatUint(r.Override, 10)
		}
		if r.Acts {
			acts = "acts"
		}
		rows = append(rows, []string{r.Rule, acts, by, r.Text})
	}
	table(stdout, "RULE STATE OVERRIDE WHY", rows)
	return nil
}
