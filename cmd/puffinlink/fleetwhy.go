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
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	e, err := client.ExplainFleet(ctx, c.Arguments.Tenant, c.Arguments.Index)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(e)
	}
	fmt.Fprintf(stdout, "taken: %t\n", e.Accepted)
	for _, line := range e.Rules {
		fmt.Fprintln(stdout, line)
	}
	return nil
}
