package main

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/operators/api"
)

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
	client, err := c.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+answerTimeout+answerTimeout/2)
	defer cancel()
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
