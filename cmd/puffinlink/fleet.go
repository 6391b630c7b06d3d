package main

import (
	"context"
	"fmt"
	"os/user"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/operators/api"
)

type fleetCommand struct {
	Show     fleetShowCommand     `command:"show" description:"Show the state of the fleet as one aggregator knows it. Example: puffinlink fleet show"`
	Contract fleetContractCommand `command:"contract" description:"Set or clear a tenant's contract, and wait until all aggregators apply it. Example: puffinlink fleet contract acme --zones north --reason 'signed'"`
	Quota    fleetQuotaCommand    `command:"quota" description:"Set or clear a tenant's quota. Example: puffinlink fleet quota acme --per-s 200 --burst 200 --reason 'signed'"`
	Progress fleetProgressCommand `command:"held" description:"How far a contract got, mixer by mixer. Example: puffinlink fleet held 17 acme"`
	Why      fleetWhyCommand      `command:"why" description:"Show which contract, lease and quota decide about a tenant's queries. Example: puffinlink fleet why acme reads"`
}

// clientWithTimeout asks a mixer's listener within a time.
func (d *operatorConnection) clientWithTimeout(most time.Duration) (*api.Client, context.Context, context.CancelFunc, error) {
	c, err := d.client()
	ctx, cancel := context.WithTimeout(context.Background(), most)
	return c, ctx, cancel, err
}

// submitFleetChange sends a command and tells that it was accepted; what follows may take so long more.
func (d *operatorConnection) submitFleetChange(command api.FleetCommand, more time.Duration) (*api.Client, context.Context, context.CancelFunc, fleet.Result, error) {
	client, ctx, cancel, err := d.clientWithTimeout(2*answerTimeout + more)
	var res fleet.Result
	if err == nil {
		res, err = client.Change(ctx, command)
	}
	if err == nil {
		fmt.Fprintf(stdout, "accepted as version %d\n", res.Version)
	}
	return client, ctx, cancel, res, err
}

// changeOptions is who says why.
type changeOptions struct {
	Author string `long:"author" value-name:"STRING" description:"Author of the change; the user's name unless a token names one."`
	Reason string `long:"reason" value-name:"STRING" required:"yes" description:"Reason for the change."`
	ID     string `long:"id" value-name:"STRING" description:"Idempotency key: a command sent again with the same key is executed once."`
}

func (s *changeOptions) command(tenant string) api.FleetCommand {
	if u, err := user.Current(); s.Author == "" && err == nil {
		s.Author = u.Username
	}
	return api.FleetCommand{ID: s.ID, Author: s.Author, Reason: s.Reason, Tenant: tenant}
}
