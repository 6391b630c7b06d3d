package coordinator

import (
	"context"

	"puffinlink.example/puffinlink/internal/jobs/inventory"
)

// readInventory polls the platform's list of workers while this node leads a group.
func (c *Coordinator) readInventory(ctx context.Context) {
	reader := inventory.Reader{
		Address: c.settings.CloudAPI.Address, RatePerSecond: c.settings.CloudAPI.RatePerS, HTTP: c.platformHTTP, Log: c.log,
		OnPage: c.jobs.AddInventoryPage,
	}
	for ctx.Err() == nil {
		leading, changed := c.jobs.Leading()
		if !leading {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		c.readWhileLeading(ctx, &reader)
	}
}

// readWhileLeading polls the list until this node leads no group any more.
func (c *Coordinator) readWhileLeading(ctx context.Context, reader *inventory.Reader) {
	reading, stop := context.WithCancel(ctx)
	defer stop()
	go func() {
		for {
			leading, changed := c.jobs.Leading()
			if !leading {
				stop()
				return
			}
			select {
			case <-reading.Done():
				return
			case <-changed:
			}
		}
	}()
	reader.Run(reading, inventoryPollInterval, c.jobs.SetInventory)
}
