package main

import (
	"context"
	"fmt"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/dataplane/proxy"
	"puffinlink.example/puffinlink/internal/jobs/jobapi"
	"puffinlink.example/puffinlink/internal/nodesettings"
	"puffinlink.example/puffinlink/internal/transport"
)

// Shares of the proxy's resources.
const (
	connectionMemory   = 64 << 10 // bytes of the memory limit for each client's connection
	otherDescriptors   = 400      // descriptors that are not for clients' connections
	minConnections     = 64
	bodyMemoryDivisor  = 8 // one part in so many of the memory limit holds request bodies
	bytesInMegabyte    = 1 << 20
	maxConnectionShare = 0.9 // of the descriptors left
)

// runProxy serves clients until the context ends.
func runProxy(ctx context.Context, node *systemNode) error {
	settings := node.settings
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
	if node.metrics != "" {
		requests = proxy.NewRequestMetrics()
	}
	server := proxy.New(proxy.Config{
		Requests:       requests,
		AgentAddress:   node.localAddress(),
		Caller:         caller,
		BuildRouter:    buildRouter,
		GracePeriod:    settings.Bounds.GracePeriod,
		MaxConnections: maxConnections(settings.Limits),
		MaxBodyBytes:   settings.Limits.MemoryMB * bytesInMegabyte / bodyMemoryDivisor,
		Log:            node.log,
	})
	stopMetrics, err := serveMetrics(node, server.Metrics)
	if err != nil {
		front.Close()
		readiness.Close()
		return err
	}
	defer stopMetrics()
	go func() {
		for settings := range node.changes {
			setMemoryLimit(settings)
			server.SetGracePeriod(settings.Bounds.GracePeriod)
		}
	}()
	server.Serve(ctx, front, readiness)
	return nil
}

// maxConnections is how many clients' connections the limits bear.
func maxConnections(limits nodesettings.Limits) int {
	byDescriptors := int(maxConnectionShare * float64(limits.FileDescriptors-otherDescriptors))
	byMemory := int(limits.MemoryMB * bytesInMegabyte / connectionMemory)
	return max(minConnections, min(byDescriptors, byMemory))
}

// configurationRouter adapts a table of the configuration for the proxy.
type configurationRouter struct{ table *configuration.RoutingTable }

// buildRouter reads a configuration as the operator sent it.
func buildRouter(raw []byte) (proxy.Router, error) {
	parsed, err := configuration.Parse(raw)
	if err != nil {
		return nil, err
	}
	return configurationRouter{configuration.NewRoutingTable(parsed)}, nil
}

// Match implements proxy.Router.
func (r configurationRouter) Match(host, path string) (route proxy.Route, rest string, ok bool) {
	found, rest, ok := r.table.Match(host, path)
	if !ok {
		return proxy.Route{}, "", false
	}
	service, _ := r.table.Service(found.Service) // the check of a configuration lets no unknown service through
	queue := jobapi.Queue{
		Route:           found.Name,
		Service:         found.Service,
		Priority:        found.Priority,
		MaxAttempts:     found.MaxAttempts,
		Extension:       found.Extension,
		TargetLatencyMS: found.TargetLatency().Milliseconds(),
		Guards:          service.Guards,
	}
	return proxy.Route{Queue: queue, Timeout: found.Timeout()}, rest, true
}

// Services implements proxy.Router.
func (r configurationRouter) Services() []string { return r.table.Services() }

// Limits implements proxy.Router.
func (r configurationRouter) Limits() proxy.Limits {
	limits := r.table.Limits()
	return proxy.Limits{
		HeaderBytes:   limits.MaxHeaderBytes,
		BodyBytes:     int64(limits.MaxBodyBytes),
		HeaderTimeout: limits.HeaderTimeout(),
		IdleTimeout:   limits.IdleTimeout(),
	}
}
