package main

import (
	"context"
	"fmt"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet"
	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
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

type fleetShowCommand struct{ operatorConnection }

func (c *fleetShowCommand) Execute([]string) error {
	var s fleet.Status
	if err := c.get("/v1/fleet", &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	fmt.Fprintf(stdout, "%s: open %t, hears nothing %t, leader %s, contracts of version %d sure for %.1f s, quotas of version %d\n",
		s.Node, s.Open, s.Isolated, s.Leader, s.Contracts.Version, s.ContractsConfirmedFor, s.QuotasVersion)
	w := tabwriter.NewWriter(stdout, 0, 8, 2, ' ', 0)
	for _, m := range s.Members {
		fmt.Fprintf(w, "%s\t%s\theard %.1f s ago\n", m.Node, m.Status, m.SinceReceived)
	}
	for tenant, x := range s.Contracts.Contracts {
		fmt.Fprintf(w, "contract %s\t%s\t%s\n", tenant, strings.Join(x.Zones, " "), strings.Join(x.Indexes, " "))
	}
	for tenant, q := range s.Quotas {
		fmt.Fprintf(w, "quota %s\t%g a second\tburst %g, floors %g\n", tenant, q.PerS, q.Burst, q.MinimumShare)
	}
	for _, j := range s.Outliers {
		fmt.Fprintf(w, "judged %s\t%.1f s ago\n", j.Backend, j.Age)
	}
	return w.Flush()
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

type fleetContractCommand struct {
	operatorConnection
	changeOptions
	Zones          commaList     `long:"zones" value-name:"LIST" description:"Comma-separated zones that the tenant's queries may go to."`
	Indexes        commaList     `long:"indexes" value-name:"LIST" description:"Comma-separated indexes that the contract covers; all if none is given."`
	AggregatorsToo bool          `long:"mixers-too" description:"Also forbid aggregators in other zones to accept the tenant's queries."`
	Clear          bool          `long:"clear" description:"Remove the contract."`
	Wait           time.Duration `long:"wait" value-name:"DURATION" default:"30s" description:"How long to wait until all aggregators apply it."`
	Arguments      struct {
		Tenant string `positional-arg-name:"tenant"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetContractCommand) Execute([]string) error {
	command := c.command(c.Arguments.Tenant)
	if command.Clear = "contract"; !c.Clear {
		command.Clear, command.Contract = "", &api.Contract{Zones: c.Zones, AggregatorsToo: c.AggregatorsToo, Indexes: c.Indexes}
	}
	client, ctx, cancel, res, err := c.submitFleetChange(command, c.Wait)
	defer cancel()
	if err != nil {
		return err
	}
	p, err := waitUntilApplied(ctx, client, res.Version, c.Arguments.Tenant, c.Wait)
	switch {
	case err != nil:
		return err
	case p.Applied:
		fmt.Fprintln(stdout, "held everywhere")
		return nil
	}
	printProgress(&p)
	return notAppliedError{c.Wait, res.Version, c.Arguments.Tenant}
}

// progressPollInterval is the time between two questions how far a version got.
const progressPollInterval = 200 * time.Millisecond

// waitUntilApplied asks how far a version of the contracts got until it is held everywhere, or for as long as wait says; it asks once at the
// least. What it returns is the last answer.
func waitUntilApplied(ctx context.Context, client *api.Client, version uint64, tenant string, wait time.Duration) (p residency.Progress, err error) {
	for until := time.Now().Add(wait); ; time.Sleep(progressPollInterval) {
		p, err = client.Progress(ctx, version, tenant)
		if err == nil && p.Applied || !time.Now().Before(until) {
			return p, err
		}
	}
}

func printProgress(p *residency.Progress) {
	for _, m := range p.Nodes {
		fmt.Fprintf(stdout, "%s: %s, tells version %d", m.Node, m.State, m.Applied)
		if m.LeaseEndsIn > 0 {
			fmt.Fprintf(stdout, ", refuses strict tenants in %.1f s at the latest if it hears nothing", m.LeaseEndsIn)
		}
		fmt.Fprintln(stdout)
	}
}

type fleetProgressCommand struct {
	operatorConnection
	Wait      time.Duration `long:"wait" value-name:"DURATION" description:"How long to wait until all aggregators apply it; a new leader needs a while to learn their state."`
	Arguments struct {
		Version uint64 `positional-arg-name:"version"`
		Tenant  string `positional-arg-name:"tenant"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetProgressCommand) Execute([]string) error {
	client, ctx, cancel, err := c.clientWithTimeout(c.Wait + answerTimeout + answerTimeout/2)
	defer cancel()
	if err != nil {
		return err
	}
	p, err := waitUntilApplied(ctx, client, c.Arguments.Version, c.Arguments.Tenant, c.Wait)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(p)
	}
	fmt.Fprintf(stdout, "version %d held everywhere: %t\n", p.Version, p.Applied)
	printProgress(&p)
	return nil
}

type fleetQuotaCommand struct {
	operatorConnection
	changeOptions
	PerS       float64 `long:"per-s" value-name:"NUMBER" description:"Queries per second over all aggregators."`
	Burst      float64 `long:"burst" value-name:"NUMBER" description:"Burst size in queries."`
	FloorShare float64 `long:"floor-share" value-name:"NUMBER" default:"0.04" description:"Share of the quota that is split evenly among the aggregators and needs no grant."`
	Clear      bool    `long:"clear" description:"Remove the quota."`
	Arguments  struct {
		Tenant string `positional-arg-name:"tenant"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetQuotaCommand) Execute([]string) error {
	command := c.command(c.Arguments.Tenant)
	if command.Clear = "quota"; !c.Clear {
		command.Clear, command.Quota = "", &api.Quota{PerS: c.PerS, Burst: c.Burst, Floor: c.FloorShare}
	}
	_, _, cancel, _, err := c.submitFleetChange(command, 0)
	defer cancel()
	return err
}

type fleetWhyCommand struct {
	operatorConnection
	Arguments struct {
		Tenant string `positional-arg-name:"tenant"`
		Index  string `positional-arg-name:"index"`
	} `positional-args:"yes" required:"yes"`
}

func (c *fleetWhyCommand) Execute([]string) error {
	client, ctx, cancel, err := c.clientWithTimeout(answerTimeout)
	defer cancel()
	if err != nil {
		return err
	}
	e, err := client.WhyFleet(ctx, c.Arguments.Tenant, c.Arguments.Index)
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
