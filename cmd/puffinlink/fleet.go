package main

import (
	"context"
	"fmt"
	"os/user"

	"puffinlink.example/puffinlink/internal/operators/api"
)

type fleetCommand struct {
	Show     fleetShowCommand     `command:"show" description:"Show the state of the fleet as one aggregator knows it. Example: puffinlink fleet show"`
	Contract fleetContractCommand `command:"contract" description:"Set or clear a tenant's contract, and wait until all aggregators apply it. Example: puffinlink fleet contract acme --zones north --reason 'signed'"`
	Quota    fleetQuotaCommand    `command:"quota" description:"Set or clear a tenant's quota. Example: puffinlink fleet quota acme --per-s 200 --burst 200 --reason 'signed'"`
	Progress fleetProgressCommand `command:"held" description:"How far a contract got, mixer by mixer. Example: puffinlink fleet held 17 acme"`
	Why      fleetWhyCommand      `command:"why" description:"Show which contract, lease and quota decide about a tenant's queries. Example: puffinlink fleet why acme reads"`
}

// changeTimeout is how long to wait until the fleet accepts a command that an aggregator submits.
const changeTimeout = 2 * responseTimeout

// submitFleetChange sends a command and prints the version that it was accepted as. It returns the client for further requests
// and that version.
func (d *operatorConnection) submitFleetChange(ctx context.Context, command api.FleetCommand) (client *api.Client, version uint64, err error) {
	if client, err = d.client(); err != nil {
		return nil, 0, err
	}
	result, err := client.SendFleetCommand(ctx, command)
	if err != nil {
		return nil, 0, err
	}
	fmt.Fprintf(stdout, "accepted as version %d\n", result.Version)
	return client, result.Version, nil
}

// changeOptions are the flags that state the author and the reason of a change.
type changeOptions struct {
	Author string `long:"author" value-name:"STRING" description:"Author of the change; the user's name unless a token names one."`
	Reason string `long:"reason" value-name:"STRING" required:"yes" description:"Reason for the change."`
	ID     string `long:"id" value-name:"STRING" description:"Idempotency key: a command sent again with the same key is executed once."`
}

// command returns a command for a tenant. If no author is set, it is the user who runs the program.
func (s *changeOptions) command(tenant string) api.FleetCommand {
	if u, err := user.Current(); s.Author == "" && err == nil {
		s.Author = u.Username
	}
	return api.FleetCommand{ID: s.ID, Author: s.Author, Reason: s.Reason, Tenant: tenant}
}
