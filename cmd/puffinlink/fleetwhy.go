package main

import (
	"context"
	"fmt"
)

type fleetWhyCommand struct {
	operatorConnection
	Arguments struct {
		Tenant string `positional-arg-name:"tenant"`
		Index  string `positional-arg-name:"index"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetWhyCommand) Execute([]string) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), responseTimeout)
	defer cancel()
	explanation, err := client.ExplainFleet(ctx, c.Arguments.Tenant, c.Arguments.Index)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(explanation)
	}
	fmt.Fprintf(stdout, "taken: %t\n", explanation.Accepted)
	for _, line := range explanation.Rules {
		fmt.Fprintln(stdout, line)
	}
	return nil
}
