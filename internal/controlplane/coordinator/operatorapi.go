package coordinator

import (
	"context"
	"net/http"

	"puffinlink.example/puffinlink/internal/controlplane/operations"
)

// confirmConfiguration has a majority confirm the configuration.
func (c *Coordinator) confirmConfiguration(ctx context.Context) error {
	_, _, err := c.configurator.Read(ctx)
	return err
}

// operations makes the operators' API; next serves the configuration.
func (c *Coordinator) operations(next http.Handler) http.Handler {
	return operations.New(operations.Options{
		Node: operations.Identity{
			Name: c.settings.NodeName, Zone: c.settings.Zone, Address: c.settings.InternalAddress(0),
		},
		Sources: operations.Sources{
			View:          c.replicas.View,
			Members:       c.node.Members,
			Groups:        c.node.Groups,
			Leaders:       c.node.Leaders,
			Changed:       c.node.LeadersChanged,
			Configuration: c.configurator.Current,
			InContact:     c.isCurrent,
			Confirm:       c.confirmConfiguration,
			Rebuilt:       c.rebuilder.Ready,
			Agents:        c.feed.Agents,
		},
		Caller: c.caller,
		Next:   next,
		Logger: c.log,
	})
}
