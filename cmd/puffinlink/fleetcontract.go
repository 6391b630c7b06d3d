package main

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type fleetContractCommand struct {
	operatorConnection
	changeOptions
	Zones                commaList     `long:"zones" value-name:"LIST" description:"Comma-separated zones that the tenant's queries may go to."`
	Indexes              commaList     `long:"indexes" value-name:"LIST" description:"Comma-separated indexes that the contract covers; all if none is given."`
	RestrictsAggregators bool          `long:"mixers-too" description:"Also forbid aggregators in other zones to accept the tenant's queries."`
	Clear                bool          `long:"clear" description:"Remove the contract."`
	Wait                 time.Duration `long:"wait" value-name:"DURATION" default:"30s" description:"How long to wait until all aggregators apply it."`
	Arguments            struct {
		Tenant string `positional-arg-name:"tenant"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetContractCommand) Execute([]string) error {
	command := c.command(c.Arguments.Tenant)
	if command.Clear = "contract"; !c.Clear {
		command.Clear, command.Contract = "", &api.Contract{Zones: c.Zones, RestrictsAggregators: c.RestrictsAggregators, Indexes: c.Indexes}
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout+c.Wait)
	defer cancel()
	client, version, err := c.submitFleetChange(ctx, command)
	if err != nil {
		return err
	}
	progress, err := waitUntilApplied(ctx, client, version, c.Arguments.Tenant, c.Wait)
	switch {
	case err != nil:
		return err
	case progress.Applied:
		fmt.Fprintln(stdout, "held everywhere")
		return nil
	}
	printProgress(&progress)
	return notAppliedError{c.Wait, version, c.Arguments.Tenant}
}
