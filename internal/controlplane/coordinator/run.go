package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"go.uber.org/zap"

	"puffinlink.example/puffinlink/internal/controlplane/configuration"
	"puffinlink.example/puffinlink/internal/controlplane/control"
	"puffinlink.example/puffinlink/internal/controlplane/feed"
	"puffinlink.example/puffinlink/internal/controlplane/replicaset"
)

// Run serves until the context ends or a component such as the store fails. When the context ends, Run first hands over to the
// other members, within the grace period of the settings, and then shuts down. It closes the listeners. It returns nil if it was
// stopped by the context and the store was closed without an error.
func (c *Coordinator) Run(ctx context.Context, listeners Listeners) error {
	if c.settings.Commands != commandsByInvocation {
		c.log.Error("unsupported commands setting ignored; workers are called",
			zap.String("commands", c.settings.Commands))
	}
	lifetimeCtx, endLifetime := context.WithCancel(context.WithoutCancel(ctx))
	defer endLifetime()
	internal := &http.Server{Handler: c.mux, ErrorLog: zap.NewStdLog(c.log), ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: idleTimeout}
	operator := control.NewServer(c.newOperationsHandler(control.New(lifetimeCtx, c.configurator, c.log)), c.log)
	budget := c.settings.Limits.ConnectionBudget()
	bounded := c.limitListeners(listeners, budget, internal, operator)
	failures := make(chan error, 1)
	reportFailure := func(component string, err error) {
		if err != nil && lifetimeCtx.Err() == nil {
			select {
			case failures <- fmt.Errorf("%s: %w", component, err):
			default:
			}
		}
	}
	go func() { reportFailure("internal calls", internal.Serve(bounded.Internal)) }()
	go func() { reportFailure("operator's API", operator.Serve(bounded.Control)) }()
	go func() { reportFailure("replica set", c.replicaSet.Run(lifetimeCtx)) }()
	go func() { reportFailure("rebuild", c.rebuilder.Run(lifetimeCtx)) }()
	go func() { reportFailure("replica set", c.rebuilder.Watch(lifetimeCtx)) }()
	go func() { reportFailure("configuration", c.configurator.Run(lifetimeCtx)) }()
	go func() { reportFailure("feed", c.feedServer.Run(lifetimeCtx)) }()
	go c.ensureGroups(lifetimeCtx)
	go c.jobManager.ReleaseMovedQueues(lifetimeCtx)
	go c.pollInventory(lifetimeCtx)
	replicationCtx, stopReplication := context.WithCancel(lifetimeCtx)
	replicationStopped := make(chan struct{})
	go func() {
		defer close(replicationStopped)
		c.replicationNode.Run(replicationCtx)
	}()
	err := c.waitForStop(ctx, failures)
	c.handOver(lifetimeCtx, err == nil)
	stopReplication()
	<-replicationStopped
	c.jobManager.Stop()
	c.shutDown(internal, operator) //nolint:contextcheck // it has its own timeout because ctx has ended
	endLifetime()
	return errors.Join(err, c.store.Close())
}

// ensureGroups creates a replication group for each service of the current configuration and for each one that had a queue before, and
// follows changes.
func (c *Coordinator) ensureGroups(ctx context.Context) {
	for {
		changed := c.configurator.Changed()
		for _, service := range c.configurator.Queues().Services() {
			c.replicationNode.Ensure(feed.GroupOf(service)) //nolint:contextcheck // a group lasts until the node ends
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// isCurrent reports whether this node may report its state as current. This requires that a majority recently replied to its
// pings and recently confirmed the configuration. Pings alone are not sufficient: they may succeed while quorum reads fail,
// for example while members are being rebuilt or know a different view.
func (c *Coordinator) isCurrent() bool {
	return c.replicationNode.InContact() && c.configurator.Fresh(configuration.MaxFreshAge)
}

func (c *Coordinator) adoptView(view replicaset.View) {
	if err := c.replicaSet.Learn(view); err != nil {
		c.log.Warn("view rejected", zap.Error(err))
	}
}
