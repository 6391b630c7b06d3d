package main

import (
	"context"
	"fmt"

	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/dataplane/proxy/routing"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

// Division of the proxy's memory and file descriptors.
const (
	connectionMemoryBytes     = 64 << 10 // bytes of the memory limit reserved for each client connection
	reservedDescriptors       = 400      // file descriptors reserved for everything but client connections
	minConnections            = 64
	bodyMemoryDivisor         = 8 // request bodies may use the memory limit divided by this
	bytesPerMegabyte          = 1 << 20
	connectionDescriptorShare = 0.9 // share of the unreserved file descriptors used for client connections
)

// runProxy runs a proxy, which serves clients, until ctx ends.
func runProxy(ctx context.Context, env *processEnvironment) error {
	settings := env.settings
	front, err := listen(ctx, settings.Listen.Front)
	if err != nil {
		return fmt.Errorf("listenAddresses.front: %w", err)
	}
	readiness, err := listen(ctx, settings.Listen.Readiness)
	if err != nil {
		front.Close()
		return fmt.Errorf("listenAddresses.readiness: %w", err)
	}
	caller := transport.NewClientFor(settings.Cluster)
	defer caller.Close()
	var requests *proxy.RequestMetrics
	if env.metricsAddress != "" {
		requests = proxy.NewRequestMetrics()
	}
	server := proxy.New(proxy.Config{
		Requests:       requests,
		AgentAddress:   env.localAddress(),
		Caller:         caller,
		BuildRouter:    routing.Build,
		GracePeriod:    settings.Bounds.GracePeriod,
		MaxConnections: maxConnections(settings.Limits),
		MaxBodyBytes:   settings.Limits.MemoryMB * bytesPerMegabyte / bodyMemoryDivisor,
		Log:            env.log,
	})
	stopMetrics, err := serveMetrics(env, server.Metrics)
	if err != nil {
		front.Close()
		readiness.Close()
		return err
	}
	defer stopMetrics()
	go func() {
		for settings := range env.changes {
			setMemoryLimit(settings)
			server.SetGracePeriod(settings.Bounds.GracePeriod)
		}
	}()
	server.Serve(ctx, front, readiness)
	return nil
}

// maxConnections returns how many client connections the limits on memory and file descriptors allow. It returns
// minConnections at least.
func maxConnections(limits nodesettings.Limits) int {
	byDescriptors := int(connectionDescriptorShare * float64(limits.FileDescriptors-reservedDescriptors))
	byMemory := int(limits.MemoryMB * bytesPerMegabyte / connectionMemoryBytes)
	return max(minConnections, min(byDescriptors, byMemory))
}
