package coordinator

import (
	"context"

	"puffinlink.example/puffinlink/internal/jobs/inventory"
)

// pollInventory polls the platform's list of workers while this node leads a group.
func (c *Coordinator) pollInventory(ctx context.Context) {
	reader := inventory.Reader{
		Address: c.settings.CloudAPI.Address, RatePerSecond: c.settings.CloudAPI.RatePerSecond, HTTP: c.platformHTTP, Log: c.log,
		OnPage: c.jobManager.AddInventoryPage,
	}
	for ctx.Err() == nil {
		leading, changed := c.jobManager.Leading()
		if !leading {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		c.pollInventoryWhileLeading(ctx, &reader)
	}
}

// pollInventoryWhileLeading polls the list until this node no longer leads a group or the context ends.
func (c *Coordinator) pollInventoryWhileLeading(ctx context.Context, reader *inventory.Reader) {
	pollCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	go func() {
		for {
			leading, changed := c.jobManager.Leading()
			if !leading {
				stopPolling()
				return
			}
			select {
			case <-pollCtx.Done():
				return
			case <-changed:
			}
		}
	}()
	reader.Run(pollCtx, inventoryPollInterval, c.jobManager.SetInventory)
}
