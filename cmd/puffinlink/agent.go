package main

import (
	"context"
	"fmt"
	"time"

	"puffinlink.example/puffinlink/internal/dataplane/agent"
	"puffinlink.example/puffinlink/internal/transport"
)

// Timing of the agent's shutdown. The proxy on the same machine receives SIGTERM at the same time, and needs the agent while
// it drains. Therefore the agent continues for a while after the signal.
const (
	agentStopDelay   = 3500 * time.Millisecond
	agentStopReserve = time.Second // end of the grace period that the delay must leave free
)

// runAgent runs an agent, which connects a front machine to the control plane. The agent stops after a delay of at most
// agentStopDelay once ctx has ended.
func runAgent(ctx context.Context, env *processEnvironment) error {
	settings := env.settings
	caller := transport.NewClientFor(settings.Cluster)
	defer caller.Close()
	frontAgent := agent.New(agent.Config{
		Address: settings.InternalAddress(agentPeerPortOffset),
		Seeds:   settings.SeedInternalAddresses(),
		Caller:  caller,
		Logger:  env.log,
	})
	stopServing, err := serveAgent(ctx, env, frontAgent)
	if err != nil {
		return err
	}
	defer stopServing()
	stopMetrics, err := serveMetrics(env, frontAgent.Metrics)
	if err != nil {
		return err
	}
	defer stopMetrics()
	go func() {
		for settings := range env.changes {
			setMemoryLimit(settings)
			frontAgent.SetSeeds(settings.SeedInternalAddresses())
		}
	}()
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	stopDelay := max(0, min(agentStopDelay, settings.Bounds.GracePeriod-agentStopReserve))
	context.AfterFunc(ctx, func() { time.AfterFunc(stopDelay, stop) })
	return frontAgent.Run(runCtx)
}

// serveAgent serves requests of other agents and of the proxy on the same machine until stop is called.
func serveAgent(ctx context.Context, env *processEnvironment, frontAgent *agent.Agent) (stop func(), err error) {
	peers, err := listen(ctx, env.settings.InternalAddress(agentPeerPortOffset))
	if err != nil {
		return nil, fmt.Errorf("address for other agents: %w", err)
	}
	local, err := listen(ctx, env.localAddress())
	if err != nil {
		peers.Close()
		return nil, fmt.Errorf("address for the proxy: %w", err)
	}
	self := transport.NewIdentity(env.settings.Cluster, env.settings.NodeName)
	peerMux, localMux := transport.NewMuxFor(self), transport.NewMuxFor(self)
	frontAgent.Mount(peerMux)
	frontAgent.MountLocal(localMux)
	peerServer := serveInternal(peers, peerMux, env.log)
	localServer := serveInternal(local, localMux, env.log)
	return func() {
		peerServer.Close()
		localServer.Close()
	}, nil
}
