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

// Run serves until the context ends or a component fails, such as the store. When the context ends it first hands over, within the
// grace period of the settings, and then shuts down. It closes the listeners. The error is nil after a stop by the context.
func (c *Coordinator) Run(ctx context.Context, listeners Listeners) error {
	if c.settings.Commands != commandsByInvocation {
		c.log.Error("unsupported commands setting ignored; workers are called",
			zap.String("commands", c.settings.Commands))
	}
	lifetime, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	internal := &http.Server{Handler: c.mux, ErrorLog: zap.NewStdLog(c.log), ReadHeaderTimeout: requestHeaderTimeout, IdleTimeout: idleTimeout}
	operator := control.NewServer(c.operations(control.New(lifetime, c.configurator, c.log)), c.log)
	budget := c.settings.Limits.ConnectionBudget()
	bounded := c.boundListeners(listeners, budget, internal, operator)
	failures := make(chan error, 1)
	report := func(part string, err error) {
		if err != nil && lifetime.Err() == nil {
			select {
			case failures <- fmt.Errorf("%s: %w", part, err):
			default:
			}
		}
	}
	go func() { report("internal calls", internal.Serve(bounded.Internal)) }()
	go func() { report("operator's API", operator.Serve(bounded.Control)) }()
	go func() { report("replica set", c.replicas.Run(lifetime)) }()
	go func() { report("rebuild", c.rebuilder.Run(lifetime)) }()
	go func() { report("replica set", c.rebuilder.Watch(lifetime)) }()
	go func() { report("configuration", c.configurator.Run(lifetime)) }()
	go func() { report("feed", c.feed.Run(lifetime)) }()
	go c.ensureGroups(lifetime)
	go c.readInventory(lifetime)
	leading, resign := context.WithCancel(lifetime)
	resigned := make(chan struct{})
	go func() {
		defer close(resigned)
		c.node.Run(leading)
	}()
	err := c.waitForStop(ctx, failures)
	c.handOver(lifetime, err == nil)
	resign()
	<-resigned
	c.jobs.Stop()
	c.shutDown(internal, operator) //nolint:contextcheck // it has a time-out of its own, as ctx has ended
	end()
	return errors.Join(err, c.store.Close())
}

// ensureGroups makes a replication group for each service of the configuration in force.
func (c *Coordinator) ensureGroups(ctx context.Context) {
	for {
		changed := c.configurator.Changed()
		if _, body := c.configurator.Current(); len(body) > 0 {
			c.ensureServices(body) //nolint:contextcheck // a group lasts until the node ends
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (c *Coordinator) ensureServices(body []byte) {
	parsed, err := configuration.Parse(body)
	if err != nil {
		c.log.Error("committed configuration cannot be parsed", zap.Error(err))
		return
	}
	for _, service := range parsed.Services {
		c.node.Ensure(feed.GroupOf(service.Name))
	}
}

// isCurrent tells whether this node may call its state current: a majority has lately replied to its pings, and has confirmed
// the configuration. Pings may succeed where quorum reads fail, as while members are being rebuilt or know another view.
func (c *Coordinator) isCurrent() bool {
	return c.node.InContact() && c.configurator.Fresh(configuration.FreshAge)
}

func (c *Coordinator) adoptView(view replicaset.View) {
	if err := c.replicas.Learn(view); err != nil {
		c.log.Warn("view rejected", zap.Error(err))
	}
}
