package main

import (
	"context"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type fleetQuotaCommand struct {
	operatorConnection
	changeOptions
	QueriesPerSecond float64 `long:"per-s" value-name:"NUMBER" description:"Queries per second over all aggregators."`
	Burst            float64 `long:"burst" value-name:"NUMBER" description:"Burst size in queries."`
	FloorShare       float64 `long:"floor-share" value-name:"NUMBER" default:"0.04" description:"Share of the quota that is split evenly among the aggregators and needs no grant."`
	Clear            bool    `long:"clear" description:"Remove the quota."`
	Arguments        struct {
		Tenant string `positional-arg-name:"tenant"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetQuotaCommand) Execute([]string) error {
	command := c.command(c.Arguments.Tenant)
	if command.Clear = "quota"; !c.Clear {
		command.Clear, command.Quota = "", &api.Quota{QueriesPerSecond: c.QueriesPerSecond, Burst: c.Burst, MinimumShare: c.FloorShare}
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	_, _, err := c.submitFleetChange(ctx, command)
	return err
}
