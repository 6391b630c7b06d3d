package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"puffinlink.example/puffinlink/internal/controlplane/coordinator"
)

// coordinatorGCPercent is the coordinator's GOGC value: how many percent the heap may grow over the live heap before the next
// garbage collection. Collections are expensive, as each one scans the stacks and connections of thousands of workers. The
// soft memory limit triggers a collection earlier.
const coordinatorGCPercent = 200

// coordinatorPortOffset is the offset of the coordinator's port from the first internal port.
const coordinatorPortOffset = 0

// runCoordinator runs a coordinator until ctx ends.
func runCoordinator(ctx context.Context, env *processEnvironment) error {
	debug.SetGCPercent(coordinatorGCPercent)
	core, err := coordinator.Open(ctx, env.settings, env.log)
	if err != nil {
		return err
	}
	stopMetrics, err := serveMetrics(env, core.Metrics)
	if err != nil {
		return err
	}
	defer stopMetrics()
	internal, err := listen(ctx, env.settings.InternalAddress(coordinatorPortOffset))
	if err != nil {
		return fmt.Errorf("internal address: %w", err)
	}
	operator, err := listen(ctx, env.settings.Listen.Control)
	if err != nil {
		internal.Close()
		return fmt.Errorf("listenAddresses.control: %w", err)
	}
	go func() {
		for settings := range env.changes {
			setMemoryLimit(settings)
		}
	}()
	return core.Run(ctx, coordinator.Listeners{Internal: internal, Control: operator})
}
