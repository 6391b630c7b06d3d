package coordinator

import (
	"context"
	"net/http"

	"puffinlink.example/puffinlink/internal/controlplane/operations"
)

// confirmConfiguration reads the configuration from a majority. It returns an error if no majority confirms it.
func (c *Coordinator) confirmConfiguration(ctx context.Context) error {
	_, _, err := c.configurator.Read(ctx)
	return err
}

// newOperationsHandler creates the handler of the operators' API. It passes requests for the configuration to next.
func (c *Coordinator) newOperationsHandler(next http.Handler) http.Handler {
	return operations.New(operations.Options{
		Node: operations.Identity{
			Name: c.settings.NodeName, Zone: c.settings.Zone, Address: c.settings.InternalAddress(0),
		},
		Sources: operations.Sources{
			View:                 c.replicaSet.View,
			Members:              c.replicationNode.Members,
			Groups:               c.replicationNode.Groups,
			Leaders:              c.replicationNode.Leaders,
			LeadersChanged:       c.replicationNode.LeadersChanged,
			Configuration:        c.configurator.Current,
			InContact:            c.isCurrent,
			ConfirmConfiguration: c.confirmConfiguration,
			Rebuilt:              c.rebuilder.Ready,
			Agents:               c.feedServer.Agents,
		},
		Caller: c.caller,
		Next:   next,
		Logger: c.log,
	})
}
