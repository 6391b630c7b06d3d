package main

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/controlplane/fleet/residency"
	"puffinlink.example/puffinlink/internal/operators/api"
)

// progressPollInterval is the time between two requests for the progress of a version.
const progressPollInterval = 200 * time.Millisecond

// waitUntilApplied polls the progress of a version of the contracts until all aggregators apply it or wait has elapsed. It polls
// at least once, and returns the result of the last poll, which may be an error.
func waitUntilApplied(ctx context.Context, client *api.Client, version uint64, tenant string, wait time.Duration) (progress residency.Progress, err error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(progressPollInterval) {
		progress, err = client.Progress(ctx, version, tenant)
		if err == nil && progress.Applied || !time.Now().Before(deadline) {
			return progress, err
		}
	}
}

func printProgress(progress *residency.Progress) {
	for _, node := range progress.Nodes {
		fmt.Fprintf(stdout, "%s: %s, tells version %d", node.Node, node.State, node.Applied)
		if node.LeaseEndsIn > 0 {
			fmt.Fprintf(stdout, ", refuses strict tenants in %.1f s at the latest if it hears nothing", node.LeaseEndsIn)
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
	ctx, cancel := context.WithTimeout(context.Background(), c.Wait+responseTimeout+responseTimeout/2)
	defer cancel()
	progress, err := waitUntilApplied(ctx, client, c.Arguments.Version, c.Arguments.Tenant, c.Wait)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(progress)
	}
	fmt.Fprintf(stdout, "version %d held everywhere: %t\n", progress.Version, progress.Applied)
	printProgress(&progress)
	return nil
}
