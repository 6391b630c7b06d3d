package main

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/agent"
	"puffinlink.example/puffinlink/internal/transport"
)

// Times of the agent's stop. The proxy on the same machine is told to stop at the same time, and needs the agent while
// it serves on.
const (
	agentLinger  = 3500 * time.Millisecond
	agentReserve = time.Second // of the grace period, not used for lingering
)

// runAgent links a front machine to the control plane until the context ends, and a little longer.
func runAgent(ctx context.Context, node *systemNode) error {
	settings := node.settings
	caller := transport.NewClientFor(settings.Cluster)
	defer caller.Close()
	link := agent.New(agent.Config{
		Address: settings.InternalAddress(agentPeerOffset),
		Seeds:   settings.SeedInternalAddresses(),
		Caller:  caller,
		Logger:  node.log,
	})
	stopServing, err := serveAgent(ctx, node, link)
	if err != nil {
		return err
	}
	defer stopServing()
	stopMetrics, err := serveMetrics(node, link.Metrics)
	if err != nil {
		return err
	}
	defer stopMetrics()
	go func() {
		for settings := range node.changes {
			setMemoryLimit(settings)
			link.SetSeeds(settings.SeedInternalAddresses())
		}
	}()
	lingering, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	linger := max(0, min(agentLinger, settings.Bounds.GracePeriod-agentReserve))
	context.AfterFunc(ctx, func() { time.AfterFunc(linger, stop) })
	return link.Run(lingering)
}

// serveAgent serves other agents and the proxy on the same machine until the returned function is called.
func serveAgent(ctx context.Context, node *systemNode, link *agent.Agent) (stop func(), err error) {
	peers, err := listen(ctx, node.settings.InternalAddress(agentPeerOffset))
	if err != nil {
		return nil, fmt.Errorf("address for other agents: %w", err)
	}
	local, err := listen(ctx, node.localAddress())
	if err != nil {
		peers.Close()
		return nil, fmt.Errorf("address for the proxy: %w", err)
	}
	self := transport.NewIdentity(node.settings.Cluster, node.settings.NodeName)
	peerMux, localMux := transport.NewMuxFor(self), transport.NewMuxFor(self)
	link.Mount(peerMux)
	link.MountLocal(localMux)
	peerServer := serveInternal(peers, peerMux, node.log)
	localServer := serveInternal(local, localMux, node.log)
	return func() {
		peerServer.Close()
		localServer.Close()
	}, nil
}
