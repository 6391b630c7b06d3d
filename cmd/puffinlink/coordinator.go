package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"puffinlink.example/puffinlink/internal/controlplane/coordinator"
)

// collectionGrowth is how much a coordinator's memory may grow, in hundredths of what is in use, until it is collected. The
// stacks and connections of thousands of workers make each collection dear; the memory limit comes first.
const collectionGrowth = 200

// coordinatorOffset is the coordinator's offset from the first internal port.
const coordinatorOffset = 0

// runCoordinator holds the control state until the context ends.
func runCoordinator(ctx context.Context, node *systemNode) error {
	debug.SetGCPercent(collectionGrowth)
	core, err := coordinator.Open(ctx, node.settings, node.log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(node, core.Metrics)
	if err != nil {
		return err
	}
	defer stopMetrics()
	internal, err := listen(ctx, node.settings.InternalAddress(coordinatorOffset))
	if err != nil {
		return fmt.Errorf("internal address: %w", err)
	}
	operator, err := listen(ctx, node.settings.Listen.Control)
	if err != nil {
		internal.Close()
		return fmt.Errorf("listenAddresses.control: %w", err)
	}
	go func() {
		for settings := range node.changes {
			setMemoryLimit(settings)
		}
	}()
	return core.Run(ctx, coordinator.Listeners{Internal: internal, Control: operator})
}
